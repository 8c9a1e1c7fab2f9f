import type { BackendRequest } from '#mesh/BackendRequest.js';

/** Creates a request to a backend server with default values. */
export function createTestRequest(
  id: string,
  change: Partial<BackendRequest> = {},
  key?: number,
): BackendRequest {
  return {
    callerRequest: {
      id,
      method: 'GET',
      target: '/a?b=c',
      host: 'a.example',
      headers: [
        ['Host', 'a.example'],
        ['X-Request-Id', id],
      ],
      body: Buffer.alloc(0),
      hasBody: false,
      deadlineMs: 1_000,
      key,
      credential: undefined,
      arrivedMs: 0,
    },
    service: 's',
    callerService: 'c',
    idempotent: true,
    priority: 0,
    targetLatencyMs: 300,
    targetMs: performance.now() + 300,
    dueMs: performance.now() + 2_000,
    resumes: '',
    copy: 1,
    ...change,
  };
}
