import type { Member } from '#assignment/Member.js';
import type { AdminMethods } from '#daemon/AdminMethods.js';
import type { FleetResponse } from '#daemon/FleetResponse.js';
import { runBounded } from '#daemon/RunBounded.js';
import type { Transport } from '#rpc/Transport.js';

/** Calls at once; an operator's question must not take the connections of the control tasks. */
const WIDTH = 8;
const TIMEOUT_MS = 2_000;

/** Asks daemons, this one included, the questions of the administration API. */
export class FleetCaller {
  public constructor(
    private readonly serverId: string,
    private readonly transport: Transport,
    private readonly methods: AdminMethods,
  ) {}

  /** Asks each member; an answer is undefined if the member cannot be reached. */
  public async askAll<T>(
    members: readonly Member[],
    method: string,
    params: unknown,
  ): Promise<readonly FleetResponse<T>[]> {
    return runBounded(members, WIDTH, async (member) => ({
      member,
      answer: await this.ask<T>(member, method, params),
    }));
  }

  /** Asks one member; undefined if it cannot be reached. */
  public async ask<T>(member: Member, method: string, params: unknown): Promise<T | undefined> {
    if (member.serverId === this.serverId) return (await this.methods.get(method)?.(params)) as T;
    const options = { channel: 'http', timeoutMs: TIMEOUT_MS } as const;
    const answer = await this.transport.call(member, method, params, options);
    return answer
      .map((value) => value as T)
      .toMaybe()
      .extract();
  }
}
