/**
What the way of a request needs from the rest of a host. Each port is small, so that a test can stand in for it.
*/
import type * as http from 'node:http';
import type * as core from 'wagtailroute-core';
import type {Dialect} from './dialect.ts';
import type {Pacers} from './pacing.ts';
import type {RequestFailure, RequestFailureKind} from './failures.ts';
import type {CallerRequest} from './requests.ts';

/**
Where an attempt goes: a backend server, or a host that carries the service.
*/
export type Target = {
	readonly id: core.UpstreamId;
	readonly address: core.Address;
	readonly kind: 'upstream' | 'host';
};

/**
How a request that had a place ended, as far as load is concerned. `overloaded`: shed by the upstream or timed out; `failed`
says nothing of load.
*/
export type ReleaseEnding = 'completed' | 'overloaded' | 'failed';

/**
Gives a place back.
*/
export type AdmissionRelease = {
	readonly organisation: core.Organisation;
	readonly latencyMilliseconds: number;
	readonly ending: ReleaseEnding;
};

/**
A request that waits for its place.
*/
export type PendingAdmission = {
	/**
	Undefined when the request has its place.
	*/
	readonly result: Promise<RequestFailure | undefined>;
	/**
	Withdraws the request, when its caller has left or its deadline is over: the result is there at once, and is a failure.
	*/
	readonly cancel: () => void;
};

/**
The retry budget of a service, and what is known of its latency.
*/
export type RetryPort = {
	readonly hasBudget: () => boolean;
	readonly spend: () => void;
	/**
	Milliseconds that an answer usually takes, 0 when it is not known.
	*/
	readonly getUsualMilliseconds: () => number;
	/**
	Milliseconds after which the answer to a request that may be repeated is overdue, so that it moves to another target. Absent: never.
	*/
	readonly getOverdueMilliseconds?: () => number;
};

/**
How an attempt ended, as evidence about the target.

`overdue`: the answer took so long that the request moved. `timeout` is a deadline of the service's own making, `impatience` one that the caller chose shorter: that says nothing about
the target.
*/
export type AttemptEnding =
	| 'success'
	| 'server-error'
	| 'shed'
	| 'misdirected'
	| 'connect-error'
	| 'reset'
	| 'truncated'
	| 'timeout'
	| 'overdue'
	| 'impatience'
	| 'cancelled';

/**
One ended attempt.
*/
export type AttemptReport = {
	readonly target: Target;
	readonly ending: AttemptEnding;
	/**
	Milliseconds until the answer's header section, or until the end without one.
	*/
	readonly latencyMilliseconds: number;
	readonly fingerprint: string;
	/**
	The upstream crashed with requests in flight of which one may be the cause: no evidence against the upstream.
	*/
	readonly hasCrashed: boolean;
	/**
	Absent when the caller got the answer.
	*/
	readonly failure?: RequestFailureKind;
};

/**
Asks for a place among the requests of a service.
*/
export type AdmissionRequest = {
	readonly organisation: core.Organisation;
	/**
	Milliseconds until the deadline.
	*/
	readonly remainingMilliseconds: number;
	readonly requestClass: core.RequestClass;
};

/**
Bounds of the requests of one route.
*/
export type RequestLimits = {
	readonly timeoutMilliseconds: number;
	readonly bodyBytes: number;
	readonly connectionsPerUpstream: number;
	/**
	Most targets that one request is sent to; that of the retries package when absent.
	*/
	readonly attempts?: number;
};

/**
Asks for the target of an attempt.
*/
export type ChoiceRequest = {
	/**
	Targets that had the request already.
	*/
	readonly excluded: ReadonlySet<string>;
	readonly requestClass: core.RequestClass;
	readonly requestId?: string;
	/**
	Milliseconds until the deadline.
	*/
	readonly remainingMilliseconds: number;
	/**
	Milliseconds since the request came.
	*/
	readonly waitedMilliseconds: number;
	/**
	A target got the request before, whether or not it ran it.
	*/
	readonly isResend: boolean;
	/**
	Another target has the request and leaves it unanswered; it stays there unless there is a place at once.
	*/
	readonly isMove: boolean;
};

/**
A target that is waited for.
*/
export type PendingTarget = {
	readonly result: Promise<Target | RequestFailure>;
	/**
	Withdraws the request: a target that comes all the same is given back.
	*/
	readonly cancel: () => void;
};

/**
Where a request belongs, as far as its way cares.
*/
export type RouteMatch = {
	readonly service: core.ServiceName;
	readonly route: {
		readonly class: core.RequestClass;
		readonly requireIdempotencyKey?: boolean;
	};
};

/**
A request's route, and what this host holds for its service.
*/
export type RoutedRequest = {
	readonly match: RouteMatch;
	readonly service: ServicePort;
	/**
	Organisation of the caller as the catalogue tells it, empty on a route that needs no key; absent where the catalogue has no organisations.
	*/
	readonly organisation?: core.Organisation;
};

/**
What a host holds for one service in force.
*/
export type ServicePort = {
	readonly limits: RequestLimits;
	/**
	This host carries the service; otherwise its targets are hosts that do.
	*/
	readonly isCarried: boolean;
	/**
	Takes a place at once (undefined), waits for one a bounded time, or says why not.
	*/
	readonly admit: (request: AdmissionRequest) => RequestFailure | PendingAdmission | undefined;
	readonly release: (release: AdmissionRelease) => void;
	/**
	Chooses a target for the next attempt, at once or after a wait.
	*/
	readonly choose: (choice: ChoiceRequest) => Target | PendingTarget | undefined;
	/**
	Says whether there is a target beside the excluded ones, as far as is known at once.
	*/
	readonly hasOtherTarget: (choice: ChoiceRequest) => boolean;
	readonly begin: (target: Target) => void;
	/**
	Called when the header section of an answer advertises something about the target.
	*/
	readonly recordAdvertisements?: (target: Target, advertisements: readonly core.Advertisement[]) => void;
	readonly end: (report: AttemptReport) => void;
	readonly retry: RetryPort;
};

/**
What a claim of an idempotency key comes to.
*/
export type ClaimAnswer =
	| {readonly kind: 'granted'; readonly isSendable: () => boolean; readonly settle: (settlement: Settlement) => void}
	| {readonly kind: 'stored'; readonly answer: StoredAnswer}
	| {readonly kind: 'refused'; readonly failure: RequestFailure};

/**
A whole answer kept for a resend.
*/
export type StoredAnswer = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string | string[]>>;
	/**
	Base64.
	*/
	readonly body: string;
};

/**
How a claimed execution ended. An answer too large to keep is settled as `ran` without one.
*/
export type Settlement =
	| {readonly outcome: 'ran'; readonly answer?: StoredAnswer}
	| {readonly outcome: 'not-run' | 'unknown'};

/**
A claim of an idempotency key.
*/
export type ClaimRequest = {
	readonly service: core.ServiceName;
	readonly organisation: core.Organisation;
	readonly key: string;
	readonly method: string;
	readonly requestTarget: string;
	readonly body: Uint8Array;
	readonly contentLength?: number;
	readonly timeoutMilliseconds: number;
};

/**
Asks to send a request that may crash backend servers to one of them.
*/
export type TrialRequest = {
	readonly service: core.ServiceName;
	readonly fingerprint: string;
	readonly upstream: core.UpstreamId;
	readonly budgetMilliseconds: number;
};

/**
Whether the request may be sent there. `busy`: another suspect is on trial there, ask with another one.
*/
export type TrialAnswer =
	| {readonly kind: 'free'}
	| {readonly kind: 'granted'; readonly isUsable: () => boolean; readonly end: (ending: TrialEnding) => void}
	| {readonly kind: 'busy'}
	| {readonly kind: 'refused'; readonly failure: RequestFailure};

/**
How a trial ended. `lost`: whether the upstream survives is not known.
*/
export type TrialEnding = 'completed' | 'not-sent' | 'lost';

/**
An attempt whose connection was lost after the request was sent.
*/
export type LostAttempt = {
	readonly service: core.ServiceName;
	readonly target: Target;
	readonly fingerprint: string;
	readonly isOnTrial: boolean;
};

/**
Guards backend servers from requests that crash them.
*/
export type CrashGuard = {
	/**
	Costs a look-up only.
	*/
	readonly getQuarantineStatus: (service: core.ServiceName, fingerprint: string) => 'free' | 'suspect' | 'quarantined';
	readonly requestTrial: (request: TrialRequest) => Promise<TrialAnswer>;
	/**
	Looks into a loss and says whether the upstream has crashed. What became of the request is told only then: its caller
	would send it again before the fleet knows what it does.
	*/
	readonly detectCrash: (attempt: LostAttempt) => Promise<boolean>;
	/**
	Notes that an upstream has survived a request.
	*/
	readonly recordSurvival: (service: core.ServiceName, fingerprint: string) => void;
};

/**
Whether there are routes to choose from: not right after a start.
*/
export type RoutesPort = {
	readonly areKnown: () => boolean;
	/**
	Resolves when they are known, or after a bounded time.
	*/
	readonly wait: () => Promise<void>;
};

/**
Everything the way of a request asks of the host.
*/
export type TrafficPorts = {
	readonly hostId: core.HostId;
	/**
	Monotonic time in milliseconds.
	*/
	readonly now: () => number;
	readonly dialect: Dialect;
	/**
	Finds the route of a request and its service.
	*/
	readonly route: (request: CallerRequest) => RoutedRequest | RequestFailure;
	/**
	Absent: routes are always known.
	*/
	readonly routes?: RoutesPort;
	readonly claim: (request: ClaimRequest) => Promise<ClaimAnswer>;
	readonly guard: CrashGuard;
	/**
	Uniform in [0, 1).
	*/
	readonly random: () => number;
	/**
	Answers the reserved paths.
	*/
	readonly answerReserved: (message: http.IncomingMessage, response: http.ServerResponse, path: string) => void;
	readonly isDraining: () => boolean;
	/**
	Absent: bodies pass as fast as they come.
	*/
	readonly pacers?: Pacers;
	/**
	Milliseconds that opening a connection to an upstream may take; the product's own bound when absent.
	*/
	readonly connectTimeoutMilliseconds?: number;
	/**
	Told of each answer: the service, what was told, the status and the milliseconds it took.
	*/
	readonly recordRequest: (report: RequestReport) => void;
};

/**
An advertisement and the upstream whose answer held it.
*/
export type UpstreamAdvertisement = core.Advertisement & {readonly upstream: core.UpstreamId};

/**
One answered request, for reports.
*/
export type RequestReport = {
	readonly requestId?: string;
	readonly service: core.ServiceName;
	readonly requestClass: core.RequestClass;
	readonly organisation?: core.Organisation;
	/**
	Attempts made, and the target of the last one.
	*/
	readonly attempts: number;
	readonly upstream?: core.UpstreamId;
	/**
	What the answers to all attempts advertised.
	*/
	readonly advertised: readonly UpstreamAdvertisement[];
	/**
	Milliseconds for which it was waited for targets.
	*/
	readonly choosingMilliseconds: number;
	readonly outcome: core.Outcome;
	readonly status: number;
	readonly milliseconds: number;
	readonly failure?: RequestFailure;
	/**
	The caller went away before it had the whole answer.
	*/
	readonly isCancelled: boolean;
	/**
	Another host sent it here: that host notes it too, so whoever counts a fleet's requests leaves this one out.
	*/
	readonly isForwarded: boolean;
};
