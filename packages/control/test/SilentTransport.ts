import { Left, type Either } from 'purify-ts';
import { RouterError } from '#core/RouterError.js';
import type { PeerAddress } from '#rpc/PeerAddress.js';
import { Transport } from '#rpc/Transport.js';
import type { TransportPorts } from '#rpc/TransportPorts.js';

/** Transport whose calls all fail, as if no peer answered. */
export class SilentTransport extends Transport {
  public override start(): Promise<TransportPorts> {
    return Promise.resolve({ peerPort: 0, udpPort: 0 });
  }

  public override stop(): Promise<void> {
    return Promise.resolve();
  }

  public override handle(): void {
    // No peer sends calls.
  }

  public override notify(): void {
    // No peer receives notifications.
  }

  public override call(peer: PeerAddress): Promise<Either<RouterError, unknown>> {
    const fields = {
      code: 'peerSilent',
      step: 'rpc',
      peer: peer.serverId,
      ran: 'not run',
      status: 502,
    } as const;
    return Promise.resolve(Left(new RouterError(fields, 'silent')));
  }
}
