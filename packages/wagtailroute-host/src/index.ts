/**
One host of the fleet, and the whole fleet in one process for a first look.
*/
export {type Host, type HostFakes, runHost} from './host.ts';
export {type DevSettings, runDev} from './dev.ts';
export type {HostRole, HostSettings} from './settings.ts';
