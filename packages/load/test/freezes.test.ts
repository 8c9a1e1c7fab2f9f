import t from 'tap';
import { findViolations } from './FindViolations.js';

// A daemon is killed while another is frozen for longer than its lease and returns.
t.test('daemon killed while another is frozen', async (t) => t.same(await findViolations(5), []));
