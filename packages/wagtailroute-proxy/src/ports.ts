/**
Interfaces that the proxy requires from the host it runs in. Each is small, so that tests can supply a substitute.
*/
import type * as http from 'node:http';
import type * as core from 'wagtailroute-core';
import type {Dialect} from './dialect.ts';
import type {Pacers} from './pacing.ts';
import type {RequestFailure, RequestFailureKind} from './failures.ts';
import type {CallerRequest} from './requests.ts';

/**
Receiver of an attempt: a backend server, or a host that carries the service.
*/
export type Target = {
	readonly id: core.UpstreamId;
	readonly address: core.Address;
	readonly kind: 'upstream' | 'host';
};

/**
Result of an admitted request as input for admission control. `overloaded`: shed by the upstream or timed out. `failed`: no
information about load.
*/
export type ReleaseEnding = 'completed' | 'overloaded' | 'failed';

/**
The end of an admitted request, reported to admission control.
*/
export type AdmissionRelease = {
	readonly organisation: core.Organisation;
	/**
	Milliseconds between admission and the end of the request.
	*/
	readonly latencyMilliseconds: number;
	readonly ending: ReleaseEnding;
};

/**
A request that waits for admission.
*/
export type PendingAdmission = {
	/**
	Undefined when the request is admitted, else the reason of the refusal.
	*/
	readonly result: Promise<RequestFailure | undefined>;
	/**
	Withdraws the request when its caller has disconnected or its deadline has passed: `result` resolves at once with a failure.
	*/
	readonly cancel: () => void;
};

/**
Retry budget and usual latency of a service.
*/
export type RetryPort = {
	/**
	Returns whether the budget allows another retry.
	*/
	readonly hasBudget: () => boolean;
	/**
	Deducts one retry from the budget.
	*/
	readonly spend: () => void;
	/**
	Usual latency of an answer in milliseconds, 0 when unknown.
	*/
	readonly getUsualMilliseconds: () => number;
	/**
	Milliseconds after which the answer to an idempotent request is overdue, so that the request moves to another target. Absent: never.
	*/
	readonly getOverdueMilliseconds?: () => number;
};

/**
Result of an attempt as evidence about its target.

`overdue`: the answer took so long that the request was moved to another target. `timeout`: the timeout of the route passed.
`impatience`: a shorter deadline set by the caller passed, which is no evidence about the target.
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
Size of the body of a successful response.
*/
export type ResponseSize = {
	readonly bytes: number;
	/**
	Whether the head of the response states the size. Otherwise it is the number of bytes received.
	*/
	readonly isStated: boolean;
};

/**
Report of one finished attempt.
*/
export type AttemptReport = {
	readonly target: Target;
	readonly ending: AttemptEnding;
	/**
	Milliseconds from the start of the attempt to the header section of the answer, or to the end of an attempt without one.
	*/
	readonly latencyMilliseconds: number;
	/**
	Identifies what the request asks for; empty for a target that was released without an attempt.
	*/
	readonly fingerprint: string;
	/**
	The upstream crashed, and one of the requests in flight may be the cause: no evidence against the upstream.
	*/
	readonly hasCrashed: boolean;
	/**
	Absent when the answer was relayed to the caller.
	*/
	readonly failure?: RequestFailureKind;
	/**
	Absent without a successful response to a request that has a body, and when the response was cut off before its size was known.
	*/
	readonly responseSize?: ResponseSize;
};

/**
Asks for admission of a request to a service.
*/
export type AdmissionRequest = {
	readonly organisation: core.Organisation;
	/**
	Milliseconds until the request's deadline.
	*/
	readonly remainingMilliseconds: number;
	readonly requestClass: core.RequestClass;
};

/**
Limits of the requests of one route.
*/
export type RequestLimits = {
	readonly timeoutMilliseconds: number;
	/**
	Maximum size of a request body in bytes.
	*/
	readonly bodyBytes: number;
	/**
	Maximum number of connections from this host to one upstream.
	*/
	readonly connectionsPerUpstream: number;
	/**
	Maximum number of attempts per request; `MAX_ATTEMPTS` of the retries package when absent.
	*/
	readonly attempts?: number;
};

/**
Asks for the target of the next attempt.
*/
export type ChoiceRequest = {
	/**
	Identifiers of the targets that were already tried.
	*/
	readonly excluded: ReadonlySet<string>;
	readonly requestClass: core.RequestClass;
	readonly requestId?: string;
	/**
	Milliseconds until the request's deadline.
	*/
	readonly remainingMilliseconds: number;
	/**
	Milliseconds since the request arrived.
	*/
	readonly waitedMilliseconds: number;
	/**
	The request was sent to a target before, whether or not that target ran it.
	*/
	readonly isResend: boolean;
	/**
	The answer of another target is overdue. The request stays with that target unless a slot elsewhere is granted at once.
	*/
	readonly isMove: boolean;
};

/**
A choice of a target that is still pending.
*/
export type PendingTarget = {
	readonly result: Promise<Target | RequestFailure>;
	/**
	Withdraws the request; a target that is granted later nevertheless is released.
	*/
	readonly cancel: () => void;
};

/**
Service and route of a request.
*/
export type RouteMatch = {
	readonly service: core.ServiceName;
	readonly route: {
		readonly class: core.RequestClass;
		readonly requireIdempotencyKey?: boolean;
	};
};

/**
Route of a request and the port of its service.
*/
export type RoutedRequest = {
	readonly match: RouteMatch;
	readonly service: ServicePort;
	/**
	Organisation that the catalogue assigns to the caller's key; empty on a public route when the request has no known key, absent where the catalogue has no organisations.
	*/
	readonly organisation?: core.Organisation;
	/**
	Version of the catalogue that the route is from; absent where catalogues have none.
	*/
	readonly catalogueVersion?: number;
};

/**
What a host provides for the requests of one service.
*/
export type ServicePort = {
	readonly limits: RequestLimits;
	/**
	Whether this host carries the service; otherwise its targets are hosts that do.
	*/
	readonly isCarried: boolean;
	/**
	Admits the request at once (undefined), queues it for a bounded time, or refuses it.
	*/
	readonly admit: (request: AdmissionRequest) => RequestFailure | PendingAdmission | undefined;
	readonly release: (release: AdmissionRelease) => void;
	/**
	Chooses the target of the next attempt, at once or after a wait. Undefined when there is none.
	*/
	readonly choose: (choice: ChoiceRequest) => Target | PendingTarget | undefined;
	/**
	Returns whether this host knows a target other than the excluded ones.
	*/
	readonly hasOtherTarget: (choice: ChoiceRequest) => boolean;
	/**
	Called when an attempt starts.
	*/
	readonly begin: (target: Target) => void;
	/**
	Called when the header section of an answer carries advertisements of the target about itself.
	*/
	readonly recordAdvertisements?: (target: Target, advertisements: readonly core.Advertisement[]) => void;
	/**
	Called when an attempt ends, also for a target that was chosen and not used.
	*/
	readonly end: (report: AttemptReport) => void;
	readonly retry: RetryPort;
	/**
	Returns the number of bytes that the response is expected to have; 0 when unknown. Absent: never known.
	*/
	readonly getExpectedResponseBytes?: () => number;
};

/**
Result of a claim of an idempotency key. `granted`: the request may be sent while `isSendable` returns true, and `settle` reports its result.
`stored`: an earlier request with the key ran and its answer is kept.
*/
export type ClaimAnswer =
	| {readonly kind: 'granted'; readonly isSendable: () => boolean; readonly settle: (settlement: Settlement) => void}
	| {readonly kind: 'stored'; readonly answer: StoredAnswer}
	| {readonly kind: 'refused'; readonly failure: RequestFailure};

/**
A complete answer, kept for later requests with the same idempotency key.
*/
export type StoredAnswer = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string | string[]>>;
	/**
	Body in base64.
	*/
	readonly body: string;
};

/**
Result of the execution under a claim. `ran` has no answer when the answer was too large to keep.
*/
export type Settlement =
	| {readonly outcome: 'ran'; readonly answer?: StoredAnswer}
	| {readonly outcome: 'not-run' | 'unknown'};

/**
Asks for a claim of an idempotency key. Method, request target, content length and body are compared with those of an earlier claim of the key.
*/
export type ClaimRequest = {
	readonly service: core.ServiceName;
	readonly organisation: core.Organisation;
	readonly key: string;
	readonly method: string;
	readonly requestTarget: string;
	/**
	The body, or its first part when it is larger than what is buffered.
	*/
	readonly body: Uint8Array;
	readonly contentLength?: number;
	readonly timeoutMilliseconds: number;
};

/**
Asks for permission to send a request that is suspected of crashing backend servers to one of them.
*/
export type TrialRequest = {
	readonly service: core.ServiceName;
	readonly fingerprint: string;
	readonly upstream: core.UpstreamId;
	readonly budgetMilliseconds: number;
};

/**
Whether a suspect request may be sent to the upstream. `free`: it is no longer suspect. `busy`: another suspect is on trial at this upstream; another upstream may be asked for.
*/
export type TrialAnswer =
	| {readonly kind: 'free'}
	| {readonly kind: 'granted'; readonly isUsable: () => boolean; readonly end: (ending: TrialEnding) => void}
	| {readonly kind: 'busy'}
	| {readonly kind: 'refused'; readonly failure: RequestFailure};

/**
Result of a trial. `lost`: the connection was lost, so it is unknown whether the upstream survived.
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
An attempt that its upstream leaves unanswered for longer than usual.
*/
export type UnansweredAttempt = Omit<LostAttempt, 'isOnTrial'> & {
	/**
	Monotonic milliseconds at which it was sent.
	*/
	readonly sentAt: number;
	/**
	Called when the upstream is found to have crashed.
	*/
	readonly onCrash: () => void;
};

/**
Protects backend servers from requests that crash them.
*/
export type CrashGuard = {
	/**
	Returns what is known of requests with this fingerprint. A local look-up, as it is called for each request.
	*/
	readonly getQuarantineStatus: (service: core.ServiceName, fingerprint: string) => 'free' | 'suspect' | 'quarantined';
	readonly requestTrial: (request: TrialRequest) => Promise<TrialAnswer>;
	/**
	Determines whether the upstream has crashed. The caller is answered only after this resolves: otherwise it could resend the request
	before the fleet knows that the request is suspect.
	*/
	readonly detectCrash: (attempt: LostAttempt) => Promise<boolean>;
	/**
	Finds out whether the upstream has crashed that leaves an attempt unanswered. The returned function is called when the answer begins after all. Absent: only lost
	connections are looked into.
	*/
	readonly inquire?: (attempt: UnansweredAttempt) => () => void;
	/**
	Records that an upstream has answered a request without crashing.
	*/
	readonly recordSurvival: (service: core.ServiceName, fingerprint: string) => void;
};

/**
Whether the host has loaded its routes; it has none directly after its start.
*/
export type RoutesPort = {
	readonly areKnown: () => boolean;
	/**
	Resolves when the routes are known, or after a bounded time.
	*/
	readonly wait: () => Promise<void>;
};

/**
Everything that the traffic server requires from the host.
*/
export type TrafficPorts = {
	readonly hostId: core.HostId;
	/**
	Returns monotonic time in milliseconds.
	*/
	readonly now: () => number;
	readonly dialect: Dialect;
	/**
	Returns the route of a request and the port of its service.
	*/
	readonly route: (request: CallerRequest) => RoutedRequest | RequestFailure;
	/**
	Absent when routes are known from the start.
	*/
	readonly routes?: RoutesPort;
	readonly claim: (request: ClaimRequest) => Promise<ClaimAnswer>;
	readonly guard: CrashGuard;
	/**
	Returns random numbers, uniform in [0, 1).
	*/
	readonly random: () => number;
	/**
	Answers requests to the paths that the dialect reserves for the fleet.
	*/
	readonly answerReserved: (message: http.IncomingMessage, response: http.ServerResponse, path: string) => Promise<void> | void;
	readonly isDraining: () => boolean;
	/**
	Limit the rate of large bodies on a slow link; absent when bodies are not paced.
	*/
	readonly pacers?: Pacers;
	/**
	Connect timeout for upstreams in milliseconds; `CONNECT_TIMEOUT_MILLISECONDS` when absent.
	*/
	readonly connectTimeoutMilliseconds?: number;
	/**
	Called once for each routed request, after it is answered or its caller has disconnected.
	*/
	readonly recordRequest: (report: RequestReport) => void;
	/**
	Called with an error that ended one request, or a task for it, and nothing else.
	*/
	readonly onDefect: (error: Error) => void;
};

/**
An advertisement and the upstream that sent it.
*/
export type UpstreamAdvertisement = core.Advertisement & {readonly upstream: core.UpstreamId};

/**
Report of one request, for logs and metrics.
*/
export type RequestReport = {
	readonly requestId?: string;
	readonly service: core.ServiceName;
	readonly requestClass: core.RequestClass;
	readonly organisation?: core.Organisation;
	/**
	Number of attempts.
	*/
	readonly attempts: number;
	/**
	Target of the last attempt.
	*/
	readonly upstream?: core.UpstreamId;
	/**
	Advertisements in the answers to all attempts.
	*/
	readonly advertised: readonly UpstreamAdvertisement[];
	/**
	Milliseconds spent waiting for targets, over all attempts.
	*/
	readonly choosingMilliseconds: number;
	/**
	Outcome that the caller was told.
	*/
	readonly outcome: core.Outcome;
	readonly status: number;
	/**
	Milliseconds from the arrival of the request to its end.
	*/
	readonly milliseconds: number;
	readonly failure?: RequestFailure;
	/**
	The caller disconnected before it had received the whole answer.
	*/
	readonly isCancelled: boolean;
	/**
	Another host forwarded the request and reports it too, so fleet-wide counts of requests must skip this report.
	*/
	readonly isForwarded: boolean;
	/**
	The request was answered before its whole body had been received.
	*/
	readonly isBodyUnread: boolean;
};
