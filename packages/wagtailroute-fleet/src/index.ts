/**
Entry hosts and control hosts of a fleet whose dispatchers grant the slots of upstreams, one request at a time.
*/
export {createContext, type FleetContext} from './context.ts';
export {type Control, startControl} from './control.ts';
export {
	ADDRESS_TTL_SECONDS,
	MIN_DIRECTORY_ADDRESSES,
	MAX_STANDBYS,
	STANDBYS_PER_SERVICE,
	UPSTREAM_CONNECT_TIMEOUT_MILLISECONDS,
} from './constants.ts';
export {type AbsenceTracker, startAbsenceTracker} from './absences.ts';
export {type AllotmentEnforcer, startAllotmentEnforcer} from './allotment-enforcer.ts';
export {createRequestingHosts} from './requesting-hosts.ts';
export {createSlotRequestMethods} from './slot-request-methods.ts';
export type {EncodedAnswer} from './slot-request-encoding.ts';
export {createDispatchClient, type DispatchClient} from './dispatch-client.ts';
export type {LinkedHost} from './control-links.ts';
export {orderDispatchers} from './dispatch-order.ts';
export type {OverloadControlMode} from './overload-control.ts';
export {type HostDispatcher, startHostDispatcher} from './host-dispatcher.ts';
export {type Belief, METHODS, type ServiceUpdates} from './messages.ts';
export {createRequestShare, type RequestShare} from './request-share.ts';
export {createRouter, type Router} from './routing.ts';
export {createForwardingTargets} from './forwarding.ts';
export {createUpstreamReach} from './upstream-reach.ts';
export {type Entry, startEntry} from './entry.ts';
export type {LeaderFailure} from './leader-calls.ts';
export type {
	ControlHost,
	ControlSettings,
	EntrySettings,
	FleetSettings,
} from './settings.ts';
