/** Options of the demo. */
export interface DemoOptions {
  /** Program and first arguments that run `amaranthrouter`. */
  readonly command: readonly string[];
  /** Folder with `catalogue.jsonc` and `deployment.jsonc`. */
  readonly folder: string;
  readonly seed: number;
  /** Log names of the daemons; empty for none. */
  readonly logs: string;
}
