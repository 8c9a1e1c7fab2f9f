import { describeCell } from '#model/DescribeCell.js';
import { describeProcess } from '#model/DescribeProcess.js';
import { describeWitness } from '#model/DescribeWitness.js';
import type { ModelCell } from '#model/ModelCell.js';
import type { ModelConfig } from '#model/ModelConfig.js';
import type { ModelParts } from '#model/ModelParts.js';
import { normalizeProcess } from '#model/NormalizeProcess.js';
import { normalizeWitness } from '#model/NormalizeWitness.js';
import { PairMemo } from '#model/PairMemo.js';
import { PartTable } from '#model/PartTable.js';
import { shiftProcess } from '#model/ShiftProcess.js';
import { shiftWitness } from '#model/ShiftWitness.js';

const tables = new WeakMap<ModelConfig, ModelParts>();

/** Returns the tables of a configuration, which are created on first use. */
export function getModelParts(config: ModelConfig): ModelParts {
  const known = tables.get(config);
  if (known !== undefined) return known;
  const count = Math.max(...config.witnessSets.flat()) + 1;
  const cells = new PartTable({
    normalize: (part: ModelCell) => part,
    describe: describeCell,
    shift: (part: ModelCell) => part,
  });
  const parts: ModelParts = {
    cells,
    renewals: new PairMemo(),
    promises: new PairMemo(),
    witnesses: new PartTable({
      normalize: (part) => normalizeWitness(part, config),
      describe: describeWitness,
      shift: shiftWitness,
    }),
    processes: new PartTable({
      normalize: (part) => normalizeProcess(part, cells, config),
      describe: (part) => describeProcess(part, cells, count),
      shift: shiftProcess,
    }),
  };
  tables.set(config, parts);
  return parts;
}
