import type { OverloadKind } from './OverloadKind.js';

/**
 * Kinds of a service `front` with priorities 0 to 3, of which the most urgent and most valuable makes two calls to a service
 * `back`, and the kinds of that service.
 */
export const overloadKinds: readonly OverloadKind[] = [
  {
    name: 'pay',
    service: 'front',
    priority: 0,
    worth: 5,
    fraction: 0.15,
    workMs: 60,
    targetMs: 1_007,
    deadlineMs: 1_524,
    calls: 2,
  },
  {
    name: 'renew',
    service: 'front',
    priority: 1,
    worth: 3,
    fraction: 0.15,
    workMs: 80,
    targetMs: 800,
    deadlineMs: 1_400,
    calls: 0,
  },
  {
    name: 'report',
    service: 'front',
    priority: 2,
    worth: 2,
    fraction: 0.2,
    workMs: 100,
    targetMs: 700,
    deadlineMs: 1_300,
    calls: 0,
  },
  {
    name: 'read',
    service: 'front',
    priority: 3,
    worth: 1,
    fraction: 0.5,
    workMs: 80,
    targetMs: 510,
    deadlineMs: 1_223,
    calls: 0,
  },
  {
    name: 'call',
    service: 'back',
    priority: 0,
    worth: 0,
    fraction: 0,
    workMs: 25,
    targetMs: 155,
    deadlineMs: 517,
    calls: 0,
  },
  {
    name: 'look',
    service: 'back',
    priority: 2,
    worth: 1,
    fraction: 1,
    workMs: 40,
    targetMs: 510,
    deadlineMs: 1_223,
    calls: 0,
  },
];
