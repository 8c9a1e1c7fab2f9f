import type { MeshExchange } from '#mesh/MeshExchange.js';
import type { BackendRequest } from '#mesh/BackendRequest.js';
import { responseMarginMs } from '#mesh/ResponseMarginMs.js';

/**
 * Creates the latest copy of an exchange's request. `resumes` is the process id of the daemon that already
 * received it, or empty.
 */
export function createBackendRequest(
  exchange: MeshExchange,
  callerService: string,
  resumes: string,
): BackendRequest {
  const { request, route, service, dueMs, copies } = exchange;
  return {
    callerRequest: request,
    service,
    callerService,
    idempotent: route.idempotent,
    priority: route.priority,
    targetLatencyMs: route.targetLatencyMs,
    targetMs: request.arrivedMs + route.targetLatencyMs - responseMarginMs,
    dueMs,
    resumes,
    copy: copies,
    isCall: exchange.isCall,
  };
}
