/**
Runs one host of the fleet, or a development fleet in one process.
*/
export {type Host, type HostFakes, runHost} from './host.ts';
export {type DevSettings, runDev} from './dev.ts';
export type {HostRole, HostSettings} from './settings.ts';
