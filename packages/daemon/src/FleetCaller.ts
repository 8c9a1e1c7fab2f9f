import type { Member } from '#assignment/Member.js';
import type { AdminMethods } from '#daemon/AdminMethods.js';
import type { FleetResponse } from '#daemon/FleetResponse.js';
import { runBounded } from '#daemon/RunBounded.js';
import type { Transport } from '#rpc/Transport.js';

/** Bounds the load of one administration request, which must not use up the connections of the control plane. */
const MAX_CONCURRENT_CALLS = 8;
const TIMEOUT_MS = 2_000;

/** Calls the administration methods of daemons, this one included. */
export class FleetCaller {
  public constructor(
    private readonly serverId: string,
    private readonly transport: Transport,
    private readonly methods: AdminMethods,
  ) {}

  /** Calls each member; a response is undefined if its member cannot be reached. */
  public async callAll<T>(
    members: readonly Member[],
    method: string,
    params: unknown,
  ): Promise<readonly FleetResponse<T>[]> {
    return runBounded(members, MAX_CONCURRENT_CALLS, async (member) => ({
      member,
      response: await this.call<T>(member, method, params),
    }));
  }

  /** Calls one member; resolves with undefined if it cannot be reached. */
  public async call<T>(member: Member, method: string, params: unknown): Promise<T | undefined> {
    if (member.serverId === this.serverId) return (await this.methods.get(method)?.(params)) as T;
    const options = { channel: 'http', timeoutMs: TIMEOUT_MS } as const;
    const response = await this.transport.call(member, method, params, options);
    return response
      .map((value) => value as T)
      .toMaybe()
      .extract();
  }
}
