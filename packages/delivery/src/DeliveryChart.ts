import type { ChartFile } from '#chart/ChartFile.js';
import { compileChart } from '#chart/CompileChart.js';
import type { CompiledChart } from '#chart/CompiledChart.js';
import file from '../charts/delivery.json' with { type: 'json' };
import type { DeliveryContext } from '#delivery/DeliveryContext.js';
import type { DeliveryEvent } from '#delivery/DeliveryEvent.js';
import { deliveryRules } from '#delivery/DeliveryRules.js';

/** Chart of one response, from its admission to exactly one outcome; the final states are named for outcomes. */
export const deliveryChart: CompiledChart<DeliveryContext, DeliveryEvent, never> = compileChart(
  'delivery.json',
  file as ChartFile,
  deliveryRules,
);
