/**
Refusals of announcements, which the backend server receives.
*/
import type * as core from 'wagtailroute-core';

/**
`bad-announcement`: the body or a name is invalid. `too-many-services`, `too-many-upstreams`: a bound is reached.
`recently-drained`: a serving announcement soon after draining or leaving, which may be an older, delayed one.
*/
export type AnnouncementFailureKind =
	| 'bad-announcement'
	| 'too-many-services'
	| 'too-many-upstreams'
	| 'recently-drained';

/**
The reason for which an announcement is refused, with its message to the backend server.
*/
export type AnnouncementFailure = core.Failure<AnnouncementFailureKind>;
