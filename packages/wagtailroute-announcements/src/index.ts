/**
Announcements: leases of upstreams, replicated to all hosts that carry their service.
*/
export {
	DRAIN_HOLD_DOWN_MILLISECONDS,
	LEASE_MILLISECONDS,
	LEASE_SECONDS,
	RENEW_SECONDS,
} from './constants.ts';
export type {
	Announcement,
	Lease,
	LeaseState,
	Upstream,
	UpstreamState,
} from './leases.ts';
export type {AnnouncementFailure, AnnouncementFailureKind} from './failures.ts';
export type {
	ConfirmedLease,
	Digest,
	Effect,
	Event,
	LeaseVersion,
	Message,
} from './messages.ts';
export {parseAnnouncement, parseUpstreamId} from './parsing.ts';
export {type AnnouncementState, createAnnouncements} from './state.ts';
export {getServices, getUpstreams} from './table.ts';
export {stepAnnouncements} from './machine.ts';
