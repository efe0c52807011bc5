/**
An entry host: it serves callers, knows the generation and the instances from the control hosts, and asks their dispatchers
where each request goes.
*/
import * as timers from 'node:timers/promises';
import * as core from 'wagtailroute-core';
import type * as link from 'wagtailroute-link';
import * as proxy from 'wagtailroute-proxy';
import * as utils from 'wagtailroute-utils';
import type {ShortAnswer} from './ask-wire.ts';
import {startAsking} from './asking.ts';
import {
	ACCEPTING_PART,
	LOAD_STEP,
	RETAIN_MILLISECONDS,
	STOP_MARGIN_MILLISECONDS,
	UPSTREAM_CONNECT_MILLISECONDS,
} from './constants.ts';
import type {FleetContext} from './context.ts';
import {startControlLinks} from './control-links.ts';
import {createKnowledge} from './knowledge.ts';
import {startLoadMeter} from './load.ts';
import * as messages from './messages.ts';
import {createRouter} from './routing.ts';
import type {ControlHost, EntrySettings} from './settings.ts';

/**
A running entry host.
*/
export type Entry = {
	/**
	It has a generation, and is not stopping.
	*/
	readonly isReady: () => boolean;
	readonly addSeeds: (seeds: readonly ControlHost[]) => void;
	/**
	Leaves the directory, serves until callers have heard of it, finishes what is under way and ends.
	*/
	readonly stop: () => Promise<void>;
};

/**
Starts an entry host. Resolves when it takes requests.
*/
export async function startEntry(context: FleetContext, settings: EntrySettings, dialect: proxy.Dialect): Promise<Entry> {
	const log = context.logs('entry');
	let isStopping = false;
	// Opened below, when everything that it serves with is there.
	const opened: {traffic?: proxy.TrafficServer} = {};
	const knowledge = createKnowledge(context, {
		failureDomain: settings.failureDomain,
		getOpen: () => links.getOpen(),
		onGeneration() {
			tellState();
		},
		onInstances(service) {
			asking.refresh(service);
			retainLater();
		},
	});
	/**
	Closes the connections to addresses that no instance has any more; otherwise each address that was ever used would keep its pool.
	*/
	const retainLater = utils.coalesce(context.schedule, RETAIN_MILLISECONDS, () => {
		opened.traffic?.connections.retain(knowledge.listAddresses());
	});
	const isReady = () => !isStopping && knowledge.getGeneration() !== undefined;
	const getState = (): messages.EntryState => ({trafficAddress: settings.trafficAddress, isReady: isReady(), load: meter.getLoad()});
	let told: messages.EntryState | undefined;
	const tellState = () => {
		const state = getState();
		const isSame = state.isReady === told?.isReady && Math.abs(state.load - told.load) < LOAD_STEP;
		if (isSame) {
			return;
		}

		told = state;
		links.notifyAll(messages.METHODS.state, state);
	};

	const meter = startLoadMeter(context, {
		getBusyMilliseconds: () => performance.eventLoopUtilization().active,
		getBytes: () => opened.traffic?.getBytes() ?? 0,
		linkBytesPerSecond: settings.linkBytesPerSecond,
		onMeasured: tellState,
	});

	const findControl = (from: link.Link) => links.getOpen().find(open => open.link === from);
	const methods: link.LinkMethods = new Map<string, link.LinkMethod>(Object.entries({
		[messages.METHODS.controls](controls: readonly ControlHost[]) {
			links.learn(controls);
		},
		[messages.METHODS.generationVersion]({version}: {version: number}, from: link.Link) {
			const control = findControl(from);
			if (control !== undefined) {
				knowledge.hearVersion(control, version);
			}
		},
		[messages.METHODS.instancesChanged]: knowledge.hearInstances,
		[messages.METHODS.retired]({retirements}: Pick<messages.InstanceNews, 'retirements'>) {
			knowledge.hearRetirements(retirements);
		},
		[messages.METHODS.answer]([ask, answer]: [number, ShortAnswer]) {
			asking.hearAnswer(ask, answer);
		},
		[messages.METHODS.believe](belief: messages.Belief) {
			asking.hearBelief(belief);
		},
	}));
	const links = startControlLinks(context, {
		seeds: settings.seeds,
		self: settings.hostId,
		failureDomain: settings.failureDomain,
		createHello: () => ({id: settings.hostId, failureDomain: settings.failureDomain, entry: getState()}),
		methods,
		onOpen(control, {version}) {
			// What changed between the greeting and its answer is told again.
			control.link.notify(messages.METHODS.state, getState());
			knowledge.hearVersion(control, version);
			knowledge.follow();
		},
		onLost(control) {
			knowledge.loseControl(control);
			asking.loseControl(control);
		},
	});
	const asking = startAsking(context, {
		settings,
		getOpen: links.getOpen,
		listCandidates: knowledge.listCandidates,
		isRetired: knowledge.isRetired,
	});
	const traffic = await proxy.openTrafficServer(settings.trafficAddress, {
		hostId: settings.hostId,
		now: context.now,
		dialect,
		route: createRouter(context, {knowledge, asking}),
		claim: async () => ({kind: 'refused', failure: proxy.createRequestFailure('idempotency-records-unavailable', 'This fleet keeps no keys.')}),
		guard: OPEN_GUARD,
		random: context.random,
		answerReserved(_message, response) {
			proxy.answerJson(response, 404, {});
		},
		isDraining: () => isStopping,
		connectMilliseconds: UPSTREAM_CONNECT_MILLISECONDS,
		note: createNoting(context),
	});
	opened.traffic = traffic;
	context.metrics.registerGauge('requests_in_flight', traffic.getInFlight);
	context.metrics.registerGauge('generation_version', () => knowledge.getGeneration()?.version ?? 0);
	log.info('Host started.', {traffic: core.formatAddress(settings.trafficAddress), seeds: settings.seeds.map(seed => seed.id)});
	const teardown = utils.mergeTeardowns(links.close, asking.teardown, meter.teardown);
	return {
		isReady,
		addSeeds: links.addSeeds,
		async stop() {
			isStopping = true;
			tellState();
			log.info('Host stopping.', {inFlight: traffic.getInFlight()});
			await timers.setTimeout(settings.stopMilliseconds * ACCEPTING_PART);
			const limit = (settings.stopMilliseconds * (1 - ACCEPTING_PART)) - STOP_MARGIN_MILLISECONDS;
			await Promise.race([traffic.drain(), timers.setTimeout(limit)]);
			log.info('Host stopped.', {inFlight: traffic.getInFlight()});
			teardown();
		},
	};
}

const OPEN_GUARD: proxy.Guard = {
	getStanding: () => 'free',
	requestTrial: async () => ({kind: 'free'}),
	examineLoss: async () => false,
	noteSurvived: () => undefined,
};

function createNoting(context: FleetContext): (note: proxy.RequestNote) => void {
	const log = context.logs('request');
	return note => {
		const {service, outcome, status, failure, milliseconds} = note;
		context.metrics.count('requests', {service, outcome, status: String(status)});
		context.metrics.observe('request', milliseconds, {service});
		if (failure !== undefined) {
			context.metrics.count('failures', {service, kind: failure.kind});
		}

		const line = {
			request: note.requestId,
			service,
			class: note.requestClass,
			outcome,
			status,
			milliseconds: Math.round(milliseconds),
			attempts: note.attempts,
			upstream: note.upstream,
			...failure !== undefined && {failure: failure.kind, detail: failure.message},
		};
		const isGood = failure === undefined && status < 500;
		log[isGood ? 'info' : 'warn'](isGood ? 'Answered.' : 'Failed.', line);
	};
}
