import t from 'tap';
import { findViolations } from './FindViolations.js';

// The frozen daemon resumes after its lease has expired and must not act as the owner of its former keys.
t.test('daemon killed while another is frozen', async (t) => t.same(await findViolations(5), []));
