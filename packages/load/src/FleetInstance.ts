/** One daemon and the backend server beside it, as listed in a deployment file. */
export interface FleetInstance {
  readonly serverId: string;
  readonly service: string;
  readonly region: string;
  readonly failureDomain: string;
  readonly vm: string;
  readonly slots: number;
  readonly connections: number;
  readonly checksToken: boolean;
}
