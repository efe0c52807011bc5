/**
Entry and control hosts of a fleet whose slots are dispatched.
*/
export {createContext, type FleetContext} from './context.ts';
export {type Control, startControl} from './control.ts';
export {ADDRESS_TTL_SECONDS} from './constants.ts';
export {type Entry, startEntry} from './entry.ts';
export type {LeaderFailure} from './leader-calls.ts';
export type {
	ControlHost,
	ControlSettings,
	EntrySettings,
	FleetSettings,
} from './settings.ts';
