import { createManifest } from '#fixtures/CreateManifest.js';
import type { RequestClass } from '#fixtures/RequestClass.js';

/** Limit of request bodies as in the manifests that the platform shows, in bytes. */
const MAX_BODY_BYTES = 67_108_864;

/** Creates the project's manifest for tests with the limits of the platform's manifests. */
export function createManifestWithLimits(classes: readonly RequestClass[], timeoutMs: number): unknown {
  const manifest = createManifest(1, classes, timeoutMs) as { readonly limits: object };
  return { ...manifest, limits: { ...manifest.limits, max_body_bytes: MAX_BODY_BYTES } };
}
