import { RandomSource } from '#core/RandomSource.js';
import { createRangeTable } from '#ranges/CreateRangeTable.js';
import { countKeys } from '#ranges/CountKeys.js';
import { findRow } from '#ranges/FindRow.js';
import { KeyLoads } from '#ranges/KeyLoads.js';
import type { RangeOwner } from '#ranges/RangeOwner.js';
import type { RangeTable } from '#ranges/RangeTable.js';
import type { RangeTransfer } from '#ranges/RangeTransfer.js';
import { subtractRanges } from '#ranges/SubtractRanges.js';
import { transferRanges } from '#ranges/TransferRanges.js';
import { chooseHotKeys } from '#mesh/ChooseHotKeys.js';
import { chooseRelease } from '#mesh/ChooseRelease.js';
import { computeSurveyInterval } from '#mesh/ComputeSurveyInterval.js';
import { isNearlyFull } from '#mesh/IsNearlyFull.js';
import type { OwnerLoadReport } from '#mesh/OwnerLoadReport.js';
import { planShares } from '#mesh/PlanShares.js';
import type { KeyedOutcome } from './KeyedOutcome.js';
import type { KeyedSettings } from './KeyedSettings.js';

const KEYS = 65_536;
const BUSY_KEYS = 6_000;
const WORK_MS = 60;
const STEP_MS = 10;
const TICK_MS = 250;
const MOVE_MS = 400;
const SETTLING_MS = 1_000;
const LONG_WAIT_MS = 250;
const WARM_UP_MS = 2_000;
const MAX_ROWS = 40;

interface Owner {
  readonly owner: RangeOwner;
  readonly speed: number;
  readonly loads: KeyLoads;
  backlogMs: number;
  averageWaitMs: number;
  surveyedMs: number;
  fruitless: number;
  receivedMs: number;
  moving: readonly RangeTransfer[];
  freeMs: number;
  work: number;
}

/** Simulates the moves of keys between uneven owners, with a hot key and busy keys beside it. */
export class KeyedSimulation {
  private readonly settings: KeyedSettings;
  private readonly random: RandomSource;
  private readonly owners: readonly Owner[];
  private table: RangeTable;
  private nowMs = 0;
  private hotKey = 0;
  private requests = 0;
  private late = 0;
  private movingRequests = 0;
  private moves = 0;
  private movedKeys = 0;
  private rounds = 0;
  private surveys = 0;
  private received = 0;
  private busiestSum = 0;
  private samples = 0;

  public constructor(settings: KeyedSettings) {
    this.settings = settings;
    this.random = new RandomSource(settings.seed);
    const [slowest, fastest] = settings.speeds;
    this.owners = Array.from({ length: settings.owners }, (_, index) => ({
      owner: { serverId: `o${index}`, term: 1, incarnation: `o${index}/1` },
      speed: slowest + this.random.fraction() * (fastest - slowest),
      loads: new KeyLoads(0),
      backlogMs: 0,
      averageWaitMs: 0,
      surveyedMs: -Infinity,
      fruitless: 0,
      receivedMs: -Infinity,
      moving: [],
      freeMs: 0,
      work: 0,
    }));
    this.table = createRangeTable(
      's',
      this.owners.map(({ owner }) => owner),
    );
  }

  public run(): KeyedOutcome {
    const { durationMs, hotMs, utilization, slots } = this.settings;
    const capacity = this.owners.reduce((sum, { speed }) => sum + speed * slots, 0);
    const perStep = (utilization * capacity * STEP_MS) / WORK_MS;
    let due = 0;
    for (; this.nowMs < durationMs; this.nowMs += STEP_MS) {
      if (this.nowMs % hotMs === 0) this.hotKey = this.random.integer(KEYS);
      for (due += perStep; due >= 1; due -= 1) this.arrive();
      for (const owner of this.owners) this.work(owner);
      if (this.nowMs % TICK_MS === 0) for (const owner of this.owners) this.balance(owner);
      if (this.nowMs % 1_000 === 0) this.sample();
    }
    return {
      busiest: this.busiestSum / this.samples,
      late: this.late / this.requests,
      moving: this.movingRequests / this.requests,
      moves: this.moves,
      movedKeys: this.movedKeys / KEYS,
      rounds: this.rounds,
      surveys: this.surveys,
      rows: this.table.rows.length,
      received: this.received,
    };
  }

  private get isMeasured(): boolean {
    return this.nowMs >= WARM_UP_MS;
  }

  private pickKey(): number {
    const { hotKey, nearHotKey } = this.settings;
    const drawn = this.random.fraction();
    if (drawn < hotKey) return this.hotKey;
    if (drawn >= hotKey + nearHotKey) return this.random.integer(KEYS);
    const near = this.random.integer(this.random.integer(this.random.integer(BUSY_KEYS) + 1) + 1);
    return (this.hotKey + near) % KEYS;
  }

  private arrive(): void {
    const key = this.pickKey();
    const row = findRow(this.table.rows, key);
    const owner = this.owners.find((each) => each.owner.serverId === row?.serverId);
    if (owner === undefined) return;
    if (this.isMeasured) this.requests += 1;
    if (owner.moving.some(({ from, to }) => from <= key && key <= to)) {
      if (this.isMeasured) this.movingRequests += 1;
      return;
    }
    const tookMs = WORK_MS / owner.speed;
    owner.loads.add(key, tookMs);
    owner.work += tookMs;
    if (owner.backlogMs / this.settings.slots > LONG_WAIT_MS) {
      if (this.isMeasured) this.late += 1;
    } else owner.backlogMs += tookMs;
  }

  private work(owner: Owner): void {
    owner.backlogMs = Math.max(0, owner.backlogMs - STEP_MS * this.settings.slots);
    const waitMs = owner.backlogMs / this.settings.slots;
    owner.averageWaitMs += (STEP_MS / 1_000) * (waitMs - owner.averageWaitMs);
    if (owner.moving.length === 0 || this.nowMs < owner.freeMs) return;
    this.table = transferRanges(this.table, owner.moving);
    for (const { owner: to } of owner.moving) {
      const receiver = this.owners.find((each) => each.owner === to);
      if (receiver !== undefined) receiver.receivedMs = this.nowMs;
    }
    owner.moving = [];
  }

  private describe(owner: Owner): OwnerLoadReport {
    return {
      serverId: owner.owner.serverId,
      workMsPerSecond: this.listRows(owner).reduce((sum, row) => sum + owner.loads.sum(row, this.nowMs), 0),
      slots: this.settings.slots,
      waitMs: owner.averageWaitMs,
      baseSlowdown: 1 / owner.speed,
      accepts: this.nowMs - owner.receivedMs > SETTLING_MS,
    };
  }

  private listRows(owner: Owner): RangeTable['rows'] {
    return this.table.rows.filter(({ serverId }) => serverId === owner.owner.serverId);
  }

  private balance(owner: Owner): void {
    if (owner.moving.length > 0 || this.listRows(owner).length === 0) return;
    const own = this.describe(owner);
    const intervalMs = computeSurveyInterval(own, owner.fruitless);
    if (intervalMs === undefined || this.nowMs - owner.surveyedMs < intervalMs) return;
    owner.surveyedMs = this.nowMs;
    const others = this.owners.filter((each) => each !== owner).map((each) => this.describe(each));
    const requests = planShares(own, others);
    owner.fruitless = requests.length === 0 && isNearlyFull(own) ? owner.fruitless + 1 : 0;
    if (this.isMeasured) this.surveys += 1;
    let rows = this.listRows(owner);
    const planned: RangeTransfer[] = [];
    const plan = (from: number, to: number, receiverId: string): void => {
      const receiver = this.owners.find((each) => each.owner.serverId === receiverId);
      if (receiver === undefined || this.listRows(receiver).length >= MAX_ROWS) return;
      planned.push({ from, to, owner: receiver.owner, handover: '' });
      rows = subtractRanges(rows, [{ from, to }]);
    };
    const hot = chooseHotKeys(rows, owner.loads, requests, this.nowMs);
    if (hot !== undefined) plan(hot.range.from, hot.range.to, hot.to);
    for (const request of requests) {
      if (request.to === hot?.to) continue;
      const range = chooseRelease(rows, owner.loads, request, this.nowMs);
      if (range !== undefined) plan(range.from, range.to, request.to);
    }
    if (planned.length === 0) return;
    owner.moving = planned;
    owner.freeMs = this.nowMs + MOVE_MS;
    if (!this.isMeasured) return;
    this.rounds += 1;
    this.moves += planned.length;
    this.movedKeys += countKeys(planned);
    for (const { owner: to, ...range } of planned) {
      const receiver = this.owners.find((each) => each.owner === to);
      const load = (owner.loads.sum(range, this.nowMs) * owner.speed) / (receiver?.speed ?? 1);
      this.received = Math.max(this.received, load / (this.settings.slots * 1_000));
    }
  }

  /** Notes the demand of the last second. */
  private sample(): void {
    const demands = this.owners.map(({ work }) => work);
    for (const owner of this.owners) owner.work = 0;
    if (!this.isMeasured) return;
    this.samples += 1;
    this.busiestSum += Math.max(...demands) / (demands.reduce((sum, each) => sum + each, 0) / demands.length);
  }
}
