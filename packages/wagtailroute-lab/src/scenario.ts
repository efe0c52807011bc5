/**
Scenarios: a site, its traffic and its troubles, read from checked YAML files.

They describe kinds of trouble, none a certain day: what happens when is drawn from the seed.
*/
import * as files from 'node:fs/promises';
import * as path from 'node:path';
import * as core from 'wagtailroute-core';
import * as fleet from 'wagtailroute-fleet';
import * as results from 'ts-results-es';
import * as yaml from 'yaml';
import * as zod from 'zod';

/**
Why a scenario can not be played.
*/
export type ScenarioFailure = core.Failure<'scenario-unknown' | 'scenario-malformed'>;

const share = zod.number().min(0).max(1);
const seconds = zod.number().min(0);
const positive = zod.number().positive();

const serviceSchema = zod.strictObject({
	name: zod.string(),
	/**
	Upstreams by failure domain.
	*/
	upstreams: zod.array(zod.int().min(0)),
	slots: zod.int().min(1),
	/**
	Requests that an upstream queues before it sheds.
	*/
	queue: zod.int().min(0),
});

const routeSchema = zod.strictObject({
	name: zod.string(),
	/**
	The first is the usual one; the others get a tenth of the requests each.
	*/
	services: zod.array(zod.string()).min(1),
	requestClass: zod.enum(['read', 'idempotent', 'non-idempotent', 'upload']),
	perSecond: positive,
	work: zod.strictObject({
		meanMilliseconds: positive,
		/**
		Standard deviation of the logarithm.
		*/
		spread: zod.number().min(0),
		tailShare: share,
		tailTimes: positive,
	}),
	objectiveMilliseconds: positive,
	deadlineMilliseconds: positive,
	timeoutMilliseconds: positive,
	priority: zod.int().min(0),
	attempts: zod.int().min(1),
	worth: positive,
	lateWorth: zod.number().min(0),
	errorShare: share,
});

const spellSchema = zod.strictObject({
	kind: zod.enum(['hang', 'reset', 'error', 'shed', 'slow']),
	/**
	Absent: all.
	*/
	service: zod.string().optional(),
	/**
	Part of the upstreams that have such a spell in each period.
	*/
	share,
	everySeconds: positive,
	lengthSeconds: positive,
	/**
	Part of the requests that it harms.
	*/
	failing: share,
	/**
	How many times as long work takes in a slow spell.
	*/
	times: positive.default(4),
	/**
	Time for which a host whose request is shed in a shed spell is told to send nothing more.
	*/
	backoffSeconds: seconds.default(0),
	/**
	Harms only requests that come from one failure domain.
	*/
	isOneDomain: zod.boolean().default(false),
});

const rateLimitSchema = zod.strictObject({
	/**
	Absent: all.
	*/
	service: zod.string().optional(),
	/**
	Part of the upstreams that advertise it.
	*/
	share,
	atSeconds: seconds,
	forSeconds: positive,
	/**
	Requests a second.
	*/
	perSecond: positive,
});

const drainingSchema = zod.strictObject({
	/**
	Absent: all.
	*/
	service: zod.string().optional(),
	/**
	Part of the upstreams that leave.
	*/
	share,
	atSeconds: seconds,
});

const organisationSchema = zod.strictObject({
	name: zod.string(),
	/**
	Its allotment: requests a second, and requests beyond that which may come at once.
	*/
	perSecond: positive,
	burst: zod.number().min(0),
	/**
	What it usually sends, as a part of its rate.
	*/
	use: positive.default(0.62),
	/**
	Times in which it sends so many times as much.
	*/
	floods: zod.array(zod.strictObject({atSeconds: seconds, forSeconds: positive, times: positive})).default([]),
});

const faultSchema = zod.strictObject({
	kind: zod.enum(['burst', 'control-away', 'control-frozen', 'controls-away', 'entries-cut', 'restart', 'paths', 'unreached', 'scale-in', 'release']),
	atSeconds: seconds,
	forSeconds: seconds.default(0),
	/**
	Part of what it can befall.
	*/
	share: share.default(1),
	/**
	How many times the usual traffic, for a burst.
	*/
	times: positive.default(1),
});

const scenarioSchema = zod.strictObject({
	about: zod.string(),
	seconds: positive,
	failureDomains: zod.array(zod.string()).min(1),
	entryHostsPerDomain: zod.int().min(1),
	/**
	Entry hosts of a failure domain that callers are told of.
	*/
	directoryAddresses: zod.int().min(1).default(fleet.MIN_DIRECTORY_ADDRESSES),
	controlHosts: zod.int().min(1),
	/**
	Processor time that a host needs for each message of another one.
	*/
	messageMilliseconds: zod.strictObject({entry: zod.number().min(0), control: zod.number().min(0)}).prefault({entry: 0, control: 0}),
	nearMilliseconds: positive,
	farMilliseconds: positive,
	services: zod.array(serviceSchema).min(1),
	routes: zod.array(routeSchema).min(1),
	/**
	Traffic as a part of what the routes say.
	*/
	load: positive.default(1),
	wave: zod.strictObject({swing: share, periodSeconds: positive}).prefault({swing: 0.15, periodSeconds: 11}),
	spells: zod.array(spellSchema).default([]),
	/**
	Rate limits that upstreams advertise in their answers.
	*/
	rateLimits: zod.array(rateLimitSchema).default([]),
	/**
	Upstreams whose answers say that they leave, while their heartbeats go on as before.
	*/
	draining: zod.array(drainingSchema).default([]),
	/**
	Organisations with allotments, whose requests come beside those of the routes.
	*/
	organisations: zod.array(organisationSchema).default([]),
	faults: zod.array(faultSchema).default([]),
	/**
	Time within which entry hosts reach a control host that has started again.
	*/
	reconnectSeconds: seconds.default(0),
	callers: zod.strictObject({
		/**
		Times that a refused caller comes back.
		*/
		retries: zod.int().min(0),
	}).prefault({retries: 2}),
	budget: zod.strictObject({ratio: zod.number().min(0), extra: zod.number().min(0), windowMilliseconds: positive})
		.prefault({ratio: 0.2, extra: 62, windowMilliseconds: 10_000}),
	floor: share.default(0.7),
	/**
	Weights of the parts of the value, and the unserved share that earns the whole of its part.
	*/
	goal: zod.strictObject({
		earned: share, worstSeconds: share, worstRoute: share, nines: share, ninesBest: positive,
	}).prefault({
		earned: 0.35, worstSeconds: 0.15, worstRoute: 0.15, nines: 0.35, ninesBest: 0.005,
	}),
}).superRefine((scenario, context) => {
	const names = new Set(scenario.services.map(({name}) => name));
	const used = [...scenario.routes.flatMap(({services}) => services), ...[...scenario.spells, ...scenario.rateLimits, ...scenario.draining].map(({service}) => service)];
	const unknown = used.find(name => name !== undefined && !names.has(name));
	if (unknown !== undefined) {
		context.addIssue(`service ${unknown} is not described`);
	}

	for (const {name, upstreams} of scenario.services) {
		if (upstreams.length !== scenario.failureDomains.length) {
			context.addIssue(`service ${name}: a number of upstreams for each failure domain`);
		}
	}
});

/**
A scenario.
*/
export type Scenario = zod.output<typeof scenarioSchema>;
export type ScenarioService = Scenario['services'][number];
export type ScenarioRoute = Scenario['routes'][number];
export type ScenarioSpell = Scenario['spells'][number];
export type ScenarioRateLimit = Scenario['rateLimits'][number];
export type ScenarioDraining = Scenario['draining'][number];
export type ScenarioOrganisation = Scenario['organisations'][number];
export type ScenarioFault = Scenario['faults'][number];

const FOLDER = path.join(import.meta.dirname, 'scenarios');

/**
Lists the scenarios of the repository.
*/
export async function listScenarios(): Promise<readonly string[]> {
	const names = await files.readdir(FOLDER);
	return names.filter(name => name.endsWith('.yaml')).map(name => name.slice(0, -'.yaml'.length)).toSorted();
}

/**
Reads a scenario of the repository.
*/
export async function loadScenario(name: string): Promise<results.Result<Scenario, ScenarioFailure>> {
	const known = await listScenarios();
	if (known.includes(name)) {
		const text = await files.readFile(path.join(FOLDER, `${name}.yaml`), 'utf8');
		return parseScenario(text);
	}

	return results.Err(core.createFailure('scenario-unknown', `scenario: ${name} is not one of ${known.join(', ')}`));
}

/**
Checks the text of a scenario.
*/
export function parseScenario(text: string): results.Result<Scenario, ScenarioFailure> {
	const value = results.Result.wrap(() => yaml.parse(text) as unknown);
	const parsed = scenarioSchema.safeParse(value.unwrapOr(undefined));
	if (parsed.success) {
		return results.Ok(parsed.data);
	}

	const issue = parsed.error.issues[0]!;
	return results.Err(core.createFailure('scenario-malformed', `scenario: ${issue.path.join('.')}: ${issue.message}`));
}
