import type { Either } from 'purify-ts';
import type { RouterError } from '#core/RouterError.js';
import type { CallOptions } from '#rpc/CallOptions.js';
import type { PeerAddress } from '#rpc/PeerAddress.js';
import type { RpcHandler } from '#rpc/RpcHandler.js';
import type { TransportPorts } from '#rpc/TransportPorts.js';

/** Calls between daemons. Errors have the step `rpc` and the peer's server id or address. */
export abstract class Transport {
  /** Opens the ports. */
  public abstract start(): Promise<TransportPorts>;

  /** Closes the ports; pending calls fail. */
  public abstract stop(): Promise<void>;

  /** Registers the handler of a method and replaces an earlier one. */
  public abstract handle(method: string, handler: RpcHandler): void;

  /**
   * Calls a method of a peer. Fails with `peerSilent` if no reply arrives in time, `peerRefused` if the peer's handler
   * fails, and `messageTooLarge` if the message does not fit a datagram.
   */
  public abstract call(
    peer: PeerAddress,
    method: string,
    params: unknown,
    options: CallOptions,
  ): Promise<Either<RouterError, unknown>>;

  /** Sends a notification as one datagram, which may be lost and gets no reply. */
  public abstract notify(peer: PeerAddress, method: string, params: unknown): void;
}
