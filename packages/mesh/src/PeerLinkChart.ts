import type { ChartFile } from '#chart/ChartFile.js';
import { compileChart } from '#chart/CompileChart.js';
import type { CompiledChart } from '#chart/CompiledChart.js';
import type { PeerLinkEvent } from '#mesh/PeerLinkEvent.js';
import file from '../charts/peerLink.json' with { type: 'json' };

/** State chart of a session with another daemon. A silent session is probed by a ping. */
export const peerLinkChart: CompiledChart<undefined, PeerLinkEvent, never> = compileChart(
  'peerLink.json',
  file as ChartFile,
  { guards: {}, actions: {} },
);
