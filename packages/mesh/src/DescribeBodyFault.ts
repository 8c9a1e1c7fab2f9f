import type { BodyFault } from '#core/BodyFault.js';
import { maxBodiesBytes } from '#mesh/MaxBodiesBytes.js';
import { maxBodyBytes } from '#mesh/MaxBodyBytes.js';

/** Says which limit a body exceeds. */
export function describeBodyFault(fault: BodyFault): string {
  switch (fault) {
    case 'tooLarge':
      return `body exceeds ${maxBodyBytes} bytes`;
    case 'overBudget':
      return `bodies that are being read exceed ${maxBodiesBytes} bytes`;
  }
}
