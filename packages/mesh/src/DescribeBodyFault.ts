import type { BodyFault } from '#core/BodyFault.js';
import { maxBodiesBytes } from '#mesh/MaxBodiesBytes.js';
import { maxBodyBytes } from '#mesh/MaxBodyBytes.js';

/** Describes the limit that a body exceeds. */
export function describeBodyFault(fault: BodyFault): string {
  switch (fault) {
    case 'tooLarge':
      return `body exceeds ${maxBodyBytes} bytes`;
    case 'overBudget':
      return `bodies being read exceed ${maxBodiesBytes} bytes in total`;
  }
}
