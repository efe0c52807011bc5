/**
What an entry host holds for a request of a route: its limits, and the attempts that a dispatcher gives it places for.
*/
import type * as dispatch from 'wagtailroute-dispatch';
import * as generations from 'wagtailroute-generations';
import * as proxy from 'wagtailroute-proxy';
import type {AskDraft, Asking} from './asking.ts';
import {NO_GENERATION_MILLISECONDS, PATIENCE_MILLISECONDS, PATIENCE_RATIO} from './constants.ts';
import type {FleetContext} from './context.ts';
import type {Knowledge} from './knowledge.ts';
import {createCallerTimes} from './caller-times.ts';
import {createUsualTimes, type UsualTimes} from './usual-times.ts';

/**
Finds the route of a request and what this host holds for it.
*/
export type Router = (request: proxy.CallerRequest) => proxy.RoutedRequest | proxy.RequestFailure;

/**
What routing needs.
*/
export type RoutingPlan = {
	readonly knowledge: Pick<Knowledge, 'getGeneration' | 'findRoute' | 'findService' | 'listCandidates'>;
	readonly asking: Asking;
};

type RouteContext = {
	readonly route: generations.GenerationRoute;
	readonly service: generations.GenerationService;
	readonly bodyBytes: number;
	/**
	Milliseconds that the caller waited before this host heard of it.
	*/
	readonly waitedMilliseconds: number;
};

/**
Creates the router of a host.
*/
export function createRouter(context: FleetContext, plan: RoutingPlan): Router {
	const {knowledge} = plan;
	const chooseShare = generations.createShareChooser(context.random);
	const usualTimes = createUsualTimes();
	const callerTimes = createCallerTimes();

	return ({host, path, method, timeoutMilliseconds}) => {
		const generation = knowledge.getGeneration();
		if (generation === undefined) {
			return proxy.createRequestFailure('no-upstream', 'This host has no catalogue yet.', NO_GENERATION_MILLISECONDS);
		}

		const route = knowledge.findRoute(host, path);
		if (route === undefined) {
			return proxy.createRequestFailure('route-unknown', `No service has a route for ${method} ${host}${path}.`);
		}

		const service = knowledge.findService(chooseShare(route))!;
		const routeContext: RouteContext = {
			route, service, bodyBytes: generation.limits.bodyBytes, waitedMilliseconds: callerTimes.guessWaited(route, timeoutMilliseconds),
		};
		return {
			match: {service: service.name, route: {class: route.class}},
			service: createPort(context, plan, {...routeContext, usualTimes}),
		};
	};
}

function createPort(
	context: FleetContext,
	{knowledge, asking}: RoutingPlan,
	{
		route, service, bodyBytes, usualTimes, waitedMilliseconds,
	}: RouteContext & {readonly usualTimes: UsualTimes},
): proxy.ServicePort {
	const granted = new Map<proxy.Target, dispatch.AskId>();

	const createAsk = (choice: proxy.ChoiceRequest): AskDraft => ({
		service: service.name,
		route: route.name,
		requestClass: route.class,
		priority: route.priority,
		remainingMilliseconds: choice.remainingMilliseconds,
		objectiveMilliseconds: route.objectiveMilliseconds,
		excluded: [...choice.excluded],
		isResend: choice.isResend,
		isMove: choice.isMove,
		waitedMilliseconds: waitedMilliseconds + choice.waitedMilliseconds,
	});

	return {
		limits: {
			timeoutMilliseconds: route.timeoutMilliseconds,
			bodyBytes,
			connectionsPerUpstream: service.connectionsPerUpstream,
			attempts: route.attempts,
		},
		isCarried: true,
		admit: () => undefined,
		release: () => undefined,
		choose(choice) {
			const asked = asking.ask(createAsk(choice));
			return {
				cancel: asked.cancel,
				result: (async () => {
					const answer = await asked.answer;
					if (answer.kind === 'refuse') {
						return REFUSALS[answer.reason](answer.retryAfterMilliseconds);
					}

					const target: proxy.Target = {id: answer.upstream, address: answer.address, kind: 'upstream'};
					granted.set(target, answer.id);
					context.logs('dispatch').debug('Place granted.', {request: choice.requestId, ask: answer.id, upstream: answer.upstream});
					return target;
				})(),
			};
		},
		hasAnother: ({excluded}) => knowledge.listCandidates(service.name).some(candidate => !excluded.has(candidate.upstream) && !candidate.isDraining),
		begin: () => undefined,
		end({target, ending, latencyMilliseconds, failure}) {
			if (ending === 'success') {
				usualTimes.learn(route, latencyMilliseconds);
			}

			const id = granted.get(target);
			if (id !== undefined) {
				asking.end(id, getEnding(ending, failure), latencyMilliseconds);
			}
		},
		// The dispatcher keeps the budget, for all hosts.
		retry: {
			hasBudget: () => true,
			spend: () => undefined,
			getUsualMilliseconds: () => usualTimes.get(route),
			getPatienceMilliseconds: () => Math.max(PATIENCE_MILLISECONDS, usualTimes.get(route) * PATIENCE_RATIO),
		},
	};
}

type Refusal = (retryAfterMilliseconds: number) => proxy.RequestFailure;

const REFUSALS: Readonly<Record<dispatch.RefusalReason, Refusal>> = {
	'no-upstream': retryAfter => proxy.createRequestFailure('no-upstream', 'No backend server of the service can take the request.', retryAfter),
	'no-slot-in-time': retryAfter => proxy.createRequestFailure('queue-timeout', 'No slot comes free in time.', retryAfter),
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
Nobody listening and no way there both end an attempt before it was sent, but only the first is the upstream's doing.
*/
function getEnding(ending: proxy.AttemptEnding, failure: proxy.RequestFailureKind | undefined): dispatch.Ending {
	return failure === 'connect-refused' ? 'refused' : ENDINGS[ending];
}
