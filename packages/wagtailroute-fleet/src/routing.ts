/**
Finds the route of a request, and the port through which the proxy gets its limits and a slot from a dispatcher for each attempt.
*/
import type * as core from 'wagtailroute-core';
import type * as dispatch from 'wagtailroute-dispatch';
import * as generations from 'wagtailroute-generations';
import * as proxy from 'wagtailroute-proxy';
import * as utils from 'wagtailroute-utils';
import type {DispatchClient, SlotRequestDraft, SlotRequestHandle} from './dispatch-client.ts';
import {
	MAX_FORWARDS,
	MIN_OVERDUE_MILLISECONDS,
	NO_GENERATION_RETRY_MILLISECONDS,
	OVERDUE_RATIO,
} from './constants.ts';
import type {FleetContext} from './context.ts';
import {createDefectHandler} from './defects.ts';
import type {FleetView} from './fleet-view.ts';
import {type ForwardingTargets, HOST_ISOLATED, HOST_OUTDATED} from './forwarding.ts';
import type {UpstreamReach} from './upstream-reach.ts';
import {createCallerDeadlines} from './caller-deadlines.ts';
import {createResponseSizes, type ResponseSizes} from './response-sizes.ts';
import {createUsualTimes, type UsualTimes} from './usual-times.ts';

/**
Finds the route of a request and the port of its service; returns a failure for a request that has none.
*/
export type Router = (request: proxy.CallerRequest) => proxy.RoutedRequest | proxy.RequestFailure;

/**
Collaborators of a router.
*/
export type RouterOptions = {
	readonly fleetView: Pick<FleetView, 'getGeneration' | 'findRoute' | 'findOrganisation' | 'findService' | 'listCandidates'>;
	readonly dispatchClient: DispatchClient;
	readonly reach: Pick<UpstreamReach, 'isIsolated' | 'recordSent' | 'recordAnswer' | 'confirm'>;
	readonly forwardingTargets: ForwardingTargets;
};

type RouteContext = {
	readonly route: generations.GenerationRoute;
	readonly service: generations.GenerationService;
	readonly bodyBytes: number;
	/**
	Milliseconds that the caller has waited before this host received the request.
	*/
	readonly waitedMilliseconds: number;
	readonly caller: Caller;
	/**
	Another entry host forwarded the request.
	*/
	readonly isForwarded: boolean;
	/**
	The host that forwarded the request may have sent it to an upstream before.
	*/
	readonly isSentBefore: boolean;
};

/**
The organisation and the priority of a request.
*/
type Caller = {
	/**
	Absent if the catalogue has no organisations; empty for a request without a known key on a public route.
	*/
	readonly organisation?: core.Organisation;
	/**
	Priority of the request, 0 is the highest.
	*/
	readonly priority: number;
};

/**
Creates the router of a host.
*/
export function createRouter(context: FleetContext, options: RouterOptions): Router {
	const {fleetView} = options;
	const chooseService = generations.createServiceChooser(context.random);
	const usualTimes = createUsualTimes();
	const responseSizes = createResponseSizes();
	const callerDeadlines = createCallerDeadlines();
	const onDefect = createDefectHandler(context, 'attempt-report');

	return ({
		host, path, method, timeoutMilliseconds, key, isForwarded, tierRetry, catalogueVersion = 0,
	}) => {
		const generation = fleetView.getGeneration();
		// With an older catalogue the caller's host would seem to have gone back to it.
		if (isForwarded && (generation?.version ?? 0) < catalogueVersion) {
			return HOST_OUTDATED;
		}

		if (generation === undefined) {
			return proxy.createRequestFailure('no-upstream', 'This host has no catalogue yet.', NO_GENERATION_RETRY_MILLISECONDS);
		}

		const route = fleetView.findRoute(host, path);
		if (route === undefined) {
			return proxy.createRequestFailure('route-unknown', `No service has a route for ${method} ${host}${path}.`);
		}

		const caller = identifyCaller(options, {generation, route, key});
		if ('kind' in caller) {
			return caller;
		}

		if (isForwarded && options.reach.isIsolated()) {
			return HOST_ISOLATED;
		}

		const service = fleetView.findService(chooseService(route))!;
		const routeContext: RouteContext = {
			route,
			service,
			bodyBytes: generation.limits.bodyBytes,
			waitedMilliseconds: callerDeadlines.estimateWaited(route, timeoutMilliseconds),
			caller,
			isForwarded,
			isSentBefore: isForwarded && tierRetry !== undefined,
		};
		return {
			match: {service: service.name, route: {class: route.class}},
			organisation: caller.organisation,
			catalogueVersion: generation.version,
			service: createServicePort(context, options, {
				...routeContext, usualTimes, responseSizes, onDefect,
			}),
		};
	};
}

const UNKNOWN_KEY = proxy.createRequestFailure('key-unknown', 'No organisation holds the key of the request.');

/**
Finds the organisation that holds the key of a request. An unknown key is refused before anything else is done for the request: it may have been
revoked.
*/
function identifyCaller(
	{fleetView}: RouterOptions,
	{generation, route, key}: {readonly generation: generations.Generation; readonly route: generations.GenerationRoute; readonly key?: string},
): Caller | proxy.RequestFailure {
	if (generation.organisations === undefined) {
		return {priority: route.priority};
	}

	const organisation = key === undefined ? undefined : fleetView.findOrganisation(key);
	return organisation === undefined && route.isPublic !== true ? UNKNOWN_KEY : {organisation: organisation?.name ?? '', priority: organisation?.priority ?? route.priority};
}

function createServicePort(
	context: FleetContext,
	options: RouterOptions,
	routeContext: RouteContext & {readonly usualTimes: UsualTimes; readonly responseSizes: ResponseSizes; readonly onDefect: (error: Error) => void},
): proxy.ServicePort {
	const {fleetView, dispatchClient, reach} = options;
	const {
		route, service, bodyBytes, usualTimes, responseSizes, isForwarded, onDefect,
	} = routeContext;
	const grantedIds = new Map<proxy.Target, dispatch.SlotRequestId>();
	const forwarder = createForwarder(options, isForwarded);

	/**
	Attempts of the request that this host has sent to upstreams, or is about to.
	*/
	let ownAttempts = 0;
	const chooseForwardingTarget = (choice: proxy.ChoiceRequest) => reach.isIsolated() ? forwarder.choose(choice) : undefined;
	const mayAttempt = ({isMove}: proxy.ChoiceRequest) => ownAttempts < route.attempts && !forwarder.isTaken() && !(isMove && forwarder.hasForwarded());

	const requestSlot = async (pending: SlotRequestHandle, choice: proxy.ChoiceRequest): Promise<proxy.Target | proxy.RequestFailure> => {
		const answer = await pending.answer;
		if (answer.kind === 'refuse') {
			return REFUSALS[answer.reason](answer.retryAfterMilliseconds);
		}

		const forwardingTarget = chooseForwardingTarget(choice);
		if (forwardingTarget !== undefined || (isForwarded && reach.isIsolated())) {
			dispatchClient.reportEnd(answer.id, 'unused', 0);
			return forwardingTarget ?? HOST_ISOLATED;
		}

		ownAttempts++;
		const target: proxy.Target = {id: answer.upstream, address: answer.address, kind: 'upstream'};
		grantedIds.set(target, answer.id);
		context.logs('dispatch').debug('A slot was granted for an attempt.', {request: choice.requestId, ask: answer.id, upstream: answer.upstream});
		return target;
	};

	/**
	Reports the end of an attempt to its dispatcher. A failure counts against the upstream only if this host reaches others.
	*/
	const reportEnd = async (id: dispatch.SlotRequestId, {
		target, ending, latencyMilliseconds, failure, responseSize,
	}: proxy.AttemptReport): Promise<void> => {
		const responseBytes = responseSize && responseSizes.record(route, responseSize);
		const isReached = !UNREACHED_ENDINGS.has(ending) || await reach.confirm(target.id);
		dispatchClient.reportEnd(id, isReached ? toDispatchEnding(ending, failure) : 'cancelled', latencyMilliseconds, responseBytes);
	};

	return {
		limits: {
			timeoutMilliseconds: route.timeoutMilliseconds,
			bodyBytes,
			connectionsPerUpstream: service.connectionsPerUpstream,
			attempts: reach.isIsolated() ? MAX_FORWARDS + route.attempts : route.attempts,
		},
		// A request that is forwarded may come back to this host's own paths, so the quarantine applies here too.
		isCarried: true,
		admit: () => undefined,
		release: () => undefined,
		choose(choice) {
			const forwardingTarget = chooseForwardingTarget(choice);
			if (forwardingTarget !== undefined || !mayAttempt(choice)) {
				return forwardingTarget;
			}

			const handle = dispatchClient.requestSlot(createDraft(routeContext, choice), usualTimes.get(route));
			return {cancel: handle.cancel, result: requestSlot(handle, choice)};
		},
		hasOtherTarget: choice => (reach.isIsolated() && forwarder.canChoose(choice))
			|| (mayAttempt(choice) && fleetView.listCandidates(service.name).some(({upstream, isDraining}) => !choice.excluded.has(upstream) && !isDraining && !dispatchClient.isClosed(upstream))),
		begin({id, kind}) {
			if (kind === 'upstream') {
				reach.recordSent(id);
			}
		},
		recordAdvertisements(target, advertisements) {
			const id = grantedIds.get(target);
			if (id !== undefined) {
				dispatchClient.recordAdvertisements(id, advertisements);
			}
		},
		end(report) {
			const {target, ending, latencyMilliseconds, fingerprint} = report;
			if (target.kind === 'host') {
				forwarder.recordEnding(target, ending);
				return;
			}

			// A target that was released without an attempt.
			ownAttempts -= fingerprint === '' ? 1 : 0;
			if (ANSWERED_ENDINGS.has(ending)) {
				reach.recordAnswer(target.id);
			}

			if (ending === 'success') {
				usualTimes.record(route, latencyMilliseconds);
			}

			const id = grantedIds.get(target);
			if (id !== undefined) {
				utils.runDetached(async () => reportEnd(id, report), error => {
					onDefect(error);
					dispatchClient.reportEnd(id, 'cancelled', latencyMilliseconds);
				});
			}
		},
		getExpectedResponseBytes: () => responseSizes.get(route),
		// The dispatcher enforces the budget of resends for all hosts.
		retry: {
			hasBudget: () => true,
			spend: () => undefined,
			getUsualMilliseconds: () => usualTimes.get(route),
			getOverdueMilliseconds: () => Math.max(MIN_OVERDUE_MILLISECONDS, usualTimes.get(route) * OVERDUE_RATIO),
		},
	};
}

type Forwarder = Pick<ForwardingTargets, 'recordEnding'> & {
	/**
	Returns the host to which the next attempt goes; undefined when there is none, when several hosts have not taken the request, or when one may have: that one has made all
	attempts that the request may have.
	*/
	readonly choose: (choice: proxy.ChoiceRequest) => proxy.Target | undefined;
	readonly canChoose: (choice: proxy.ChoiceRequest) => boolean;
	/**
	Returns whether another host may have sent the request to an upstream.
	*/
	readonly isTaken: () => boolean;
	readonly hasForwarded: () => boolean;
};

function createForwarder({forwardingTargets}: RouterOptions, isForwarded: boolean): Forwarder {
	let forwards = 0;
	let isTaken = false;
	const find = ({excluded, isMove}: proxy.ChoiceRequest) => {
		const isAllowed = !isForwarded && !isTaken && forwards < MAX_FORWARDS && !(isMove && forwards > 0);
		return isAllowed ? forwardingTargets.choose(excluded) : undefined;
	};

	return {
		choose(choice) {
			const target = find(choice);
			forwards += target === undefined ? 0 : 1;
			return target;
		},
		canChoose: choice => find(choice) !== undefined,
		isTaken: () => isTaken,
		hasForwarded: () => forwards > 0,
		recordEnding(target, ending) {
			isTaken ||= !NOT_TAKEN_ENDINGS.has(ending);
			forwardingTargets.recordEnding(target, ending);
		},
	};
}

function createDraft(
	{
		route, service, waitedMilliseconds, isSentBefore, caller: {organisation, priority},
	}: RouteContext,
	choice: proxy.ChoiceRequest,
): SlotRequestDraft {
	return {
		service: service.name,
		route: route.name,
		requestClass: route.class,
		priority,
		// A request without an organisation counts against no allotment.
		...organisation !== undefined && organisation !== '' && {organisation},
		remainingMilliseconds: choice.remainingMilliseconds,
		objectiveMilliseconds: route.objectiveMilliseconds,
		excluded: [...choice.excluded],
		isResend: choice.isResend || isSentBefore,
		isMove: choice.isMove,
		waitedMilliseconds: waitedMilliseconds + choice.waitedMilliseconds,
	};
}

/**
Endings that show that the host reaches the upstream.
*/
const ANSWERED_ENDINGS: ReadonlySet<proxy.AttemptEnding> = new Set(['success', 'server-error', 'shed', 'misdirected']);

/**
Endings that a lost path of this host would cause as well.
*/
const UNREACHED_ENDINGS: ReadonlySet<proxy.AttemptEnding> = new Set(['connect-error', 'reset', 'truncated', 'timeout', 'overdue']);

/**
Endings of a forwarded attempt that show that the other host has not taken the request.
*/
const NOT_TAKEN_ENDINGS: ReadonlySet<proxy.AttemptEnding> = new Set(['connect-error', 'shed']);

type Refusal = (retryAfterMilliseconds: number) => proxy.RequestFailure;

const REFUSALS: Readonly<Record<dispatch.RefusalReason, Refusal>> = {
	'no-upstream': retryAfter => proxy.createRequestFailure('no-upstream', 'No backend server of the service can take the request.', retryAfter),
	'no-slot-in-time': retryAfter => proxy.createRequestFailure('queue-timeout', 'No slot comes free in time.', retryAfter),
	allotment: retryAfter => proxy.createRequestFailure('rate-limited', 'The organisation has used its allotment.', retryAfter),
	budget: retryAfter => proxy.createRequestFailure('limit-reached', 'The budget of resends is used up.', retryAfter),
};

const ENDINGS: Readonly<Record<proxy.AttemptEnding, dispatch.Ending>> = {
	success: 'success',
	'server-error': 'error',
	shed: 'shed',
	misdirected: 'misdirected',
	'connect-error': 'unreachable',
	reset: 'reset',
	truncated: 'reset',
	timeout: 'timeout',
	overdue: 'overdue',
	impatience: 'timeout',
	cancelled: 'cancelled',
};

/**
Translates the ending of an attempt. A refused connection and an unreachable upstream both end an attempt before it was sent, but only the first is the upstream's fault.
*/
function toDispatchEnding(ending: proxy.AttemptEnding, failure: proxy.RequestFailureKind | undefined): dispatch.Ending {
	return failure === 'connect-refused' ? 'refused' : ENDINGS[ending];
}
