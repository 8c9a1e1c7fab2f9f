import type { ChartFile } from '#chart/ChartFile.js';
import { compileChart } from '#chart/CompileChart.js';
import type { CompiledChart } from '#chart/CompiledChart.js';
import file from '../charts/delivery.json' with { type: 'json' };
import type { DeliveryContext } from '#delivery/DeliveryContext.js';
import type { DeliveryEvent } from '#delivery/DeliveryEvent.js';
import { deliveryRules } from '#delivery/DeliveryRules.js';

/** Chart of the delivery of one response, which ends in exactly one outcome; its final states are the outcomes. */
export const deliveryChart: CompiledChart<DeliveryContext, DeliveryEvent, never> = compileChart(
  'delivery.json',
  file as ChartFile,
  deliveryRules,
);
