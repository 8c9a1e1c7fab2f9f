import { Right } from 'purify-ts';
import { RouteDecoder } from '#mesh/RouteDecoder.js';
import type { RouteTable } from '#routes/RouteTable.js';

/** Decodes a configuration that is only a version. */
export class VersionDecoder extends RouteDecoder {
  public override decode(_name: string, value: unknown): ReturnType<RouteDecoder['decode']> {
    const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
    const table: RouteTable = {
      version: value as number,
      limits,
      routes: [],
      services: new Map(),
      tenants: new Map(),
      tenantByKey: new Map(),
    };
    return Right(table);
  }
}
