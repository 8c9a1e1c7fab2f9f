import t from 'tap';
import { findViolations } from './FindViolations.js';

// The takeover has to wait for the store, and no key may get two owners.
t.test('VM and store lost at once', async (t) => t.same(await findViolations(1), []));
