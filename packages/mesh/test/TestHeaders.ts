import type { HeaderNames } from '#mesh/HeaderNames.js';

/** Header names of a front end for tests. */
export const testHeaders: HeaderNames = {
  requestId: 'X-Request-Id',
  deadlineMs: 'X-Deadline',
  signature: 'X-Sign',
  expectedServer: 'X-Expected',
  callerService: 'X-Caller',
  notExecuted: 'X-Not-Run',
  load: 'X-Load',
  key: 'X-Key',
  authorization: 'X-Auth',
  tenant: 'X-Tenant',
};
