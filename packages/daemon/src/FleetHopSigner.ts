import type { Clock } from '#core/Clock.js';
import { HopSigner } from '#proxy/HopSigner.js';
import { signHop } from '#rpc/SignHop.js';
import { verifyHop } from '#rpc/VerifyHop.js';

/** Signs the heads of forwarded requests with the fleet key. */
export class FleetHopSigner extends HopSigner {
  public constructor(
    private readonly fleetKey: string,
    private readonly clock: Clock,
  ) {
    super();
  }

  public override sign(fields: string): string {
    return signHop(this.fleetKey, fields, this.clock.wallMs());
  }

  public override verify(fields: string, signature: string): boolean {
    return verifyHop(this.fleetKey, fields, signature, this.clock.wallMs()).isRight();
  }
}
