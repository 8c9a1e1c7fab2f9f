/** Deployment, seed and logs of a demo run. */
export interface DemoOptions {
  /** Program and leading arguments that start `amaranthrouter`. */
  readonly command: readonly string[];
  /** Folder with `catalogue.jsonc` and `deployment.jsonc`. */
  readonly folder: string;
  readonly seed: number;
  /** Names of the logs that the daemons write; empty for none. */
  readonly logs: string;
}
