/**
Failures of announcements.
*/
import type * as core from 'wagtailroute-core';

/**
`bad-announcement`: the body or a name isn't as required. `too-many-services`, `too-many-upstreams`: a bound is reached.
`recently-drained`: a serving announcement soon after draining or leaving, taken for an old one that was delayed.
*/
export type AnnouncementFailureKind =
	| 'bad-announcement'
	| 'too-many-services'
	| 'too-many-upstreams'
	| 'recently-drained';

/**
A typed failure of an announcement.
*/
export type AnnouncementFailure = core.Failure<AnnouncementFailureKind>;
