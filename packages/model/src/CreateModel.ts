import { createHolderState } from '#lease/CreateHolderState.js';
import { createWitnessState } from '#lease/CreateWitnessState.js';
import type { HolderState } from '#lease/HolderState.js';
import { stepHolder } from '#lease/StepHolder.js';
import { stepWitness } from '#lease/StepWitness.js';
import type { WitnessState } from '#lease/WitnessState.js';
import type { ModelCell } from '#model/ModelCell.js';
import type { ModelConfig } from '#model/ModelConfig.js';
import type { ModelProcess } from '#model/ModelProcess.js';
import type { ModelState } from '#model/ModelState.js';
import { normalizeState } from '#model/NormalizeState.js';

const SERVERS = ['S', 'T', 'U'];
const FIRST_NONCE = 'n0';

/** Returns the initial state: server 0 owns the shard, and the first witness set has just renewed its lease. */
export function createModel(config: ModelConfig): ModelState {
  const cell: ModelCell = {
    version: 1,
    owner: 0,
    token: 1,
    fences: [],
    epoch: config.firstEpoch,
    witnessSet: 0,
    takenOver: SERVERS.map(() => false),
    records: undefined,
  };
  const count = Math.max(...config.witnessSets.flat()) + 1;
  const witnesses = Array.from({ length: count }, (_, index) => createActiveWitness(index, config));
  return normalizeState(
    {
      cell,
      acknowledged: 1,
      processes: SERVERS.map((name, server) => createProcess(name, server, cell, config)),
      witnesses,
      messages: [],
      budget: config.budget,
      callerToken: 0,
      runs: 0,
      hasLostAssignment: false,
      hasReverted: false,
    },
    config,
  );
}

function createProcess(name: string, server: number, view: ModelCell, config: ModelConfig): ModelProcess {
  return {
    server,
    name,
    holder: server === 0 ? createLeaseHolder(config) : undefined,
    isLapsed: false,
    view,
    fences: [],
    releasedToken: 0,
    records: { knownSince: 1, hasRun: false },
    write: undefined,
  };
}

function createLeaseHolder(config: ModelConfig): HolderState {
  const witnesses = (config.witnessSets[0] ?? []).map(String);
  const epoch = config.firstEpoch;
  const registered = stepHolder(
    createHolderState('0'),
    { type: 'registered', epoch, witnesses, startedMs: 0, nowMs: 0 },
    config.lease,
  ).state;
  return witnesses.reduce(
    (state, witness) =>
      stepHolder(
        state,
        {
          type: 'renewReply',
          witness,
          epoch,
          sentAtMs: 0,
          granted: true,
          nonce: FIRST_NONCE,
          promisedEpoch: 0,
          nowMs: 0,
        },
        config.lease,
      ).state,
    registered,
  );
}

/** A witness outside the first set has an expired record of the previous epoch. */
function createActiveWitness(index: number, config: ModelConfig): WitnessState {
  const { lease, firstEpoch } = config;
  const isInFirstSet = (config.witnessSets[0] ?? []).includes(index);
  const epoch = isInFirstSet ? firstEpoch : firstEpoch - 1;
  const nowMs = isInFirstSet ? 0 : -lease.witnessExpiryMs;
  const started = stepWitness(
    createWitnessState(),
    { type: 'started', nowMs: -2 * lease.silentMs - lease.witnessExpiryMs, nonce: FIRST_NONCE },
    lease,
  ).state;
  const active = stepWitness(started, { type: 'tick', nowMs: -lease.witnessExpiryMs }, lease).state;
  if (epoch === 0) return active;
  const request = { serverId: '0', epoch, sentAtMs: nowMs, continuous: true, nonce: FIRST_NONCE };
  return stepWitness(active, { type: 'renew', request, nowMs }, lease).state;
}
