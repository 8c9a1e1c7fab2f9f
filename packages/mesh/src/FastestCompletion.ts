import type { Logger } from '#core/Logger.js';
import type { RandomSource } from '#core/RandomSource.js';
import type { MetricsRecorder } from '#metrics/MetricsRecorder.js';
import { PlacementChooser } from '#placement/PlacementChooser.js';
import type { ResultKind } from '#placement/ResultKind.js';
import type { BackendResult } from '#mesh/BackendResult.js';
import type { DaemonIdentity } from '#mesh/DaemonIdentity.js';
import { PlacementRecorder } from '#mesh/PlacementRecorder.js';
import { ServerChooser } from '#mesh/ServerChooser.js';
import type { ServerEntry } from '#mesh/ServerEntry.js';

/** Chooses the server where a request is expected to complete first. */
export class FastestCompletion extends ServerChooser {
  private readonly placement: PlacementChooser;
  private readonly recorder: PlacementRecorder;

  public constructor(
    identity: DaemonIdentity,
    random: RandomSource,
    logger: Logger,
    metrics: MetricsRecorder,
  ) {
    super();
    this.recorder = new PlacementRecorder(identity, logger, metrics);
    this.placement = new PlacementChooser(identity, random);
  }

  public override choose(candidates: readonly ServerEntry[], nowMs: number): ServerEntry | undefined {
    const index = this.placement.choose(candidates, nowMs);
    const server = index === undefined ? undefined : candidates[index];
    if (server !== undefined)
      this.recorder.note(server, candidates.length, () => this.placement.describe(candidates), nowMs);
    return server;
  }

  public override noteSent(serverId: string): void {
    this.placement.noteSent(serverId);
  }

  public override noteResult(serverId: string, result: BackendResult, nowMs: number): void {
    this.placement.noteResult(serverId, classifyResult(result), result.load, nowMs);
  }

  public override retain(serverIds: ReadonlySet<string>): void {
    this.placement.retain(serverIds);
  }
}

function classifyResult(result: BackendResult): ResultKind {
  if (result.type === 'lost') return result.code === 'cancelled' ? 'unknown' : 'failure';
  if (result.type === 'answered') return result.response.status >= 500 ? 'failure' : 'success';
  if (result.arrived) return 'failure';
  switch (result.code) {
    case 'unreachable':
    case 'noServer':
    case 'stopping':
      return 'failure';
    case 'full':
    case 'cold':
      return 'noRoom';
    default:
      return 'unknown';
  }
}
