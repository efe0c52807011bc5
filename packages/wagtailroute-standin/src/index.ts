/**
Stand-in backend servers: small HTTP servers that announce themselves, can be told to show faults, and count what they run.
Used by `dev`, tests and benchmarks; no part of the fleet.
*/
export {
	createStandin,
	type Standin,
	type StandinSettings,
} from './standin.ts';
export {
	type Behaviour,
	type BehaviourKind,
	type BehaviourRequest,
	parseBehaviours,
} from './behaviours.ts';
export {type CountedEvent, type Counts} from './counters.ts';
export {type OverSlots} from './slots.ts';
export {findFreePort} from './ports.ts';
export {digestGeneratedBytes, generateBytes} from './bytes.ts';
export {
	type AnnouncedState,
	type Announcement,
	type Announcer,
	type AnnouncerSettings,
	createAnnouncer,
} from './announcer.ts';
