/**
Tests of the allotment enforcer of a host's dispatcher: which requests use or refund a token, what is reported to others, and what is logged.
*/
import * as stream from 'node:stream';
import test from 'ava';
import type * as allotments from 'wagtailroute-allotments';
import type * as dispatch from 'wagtailroute-dispatch';
import * as telemetry from 'wagtailroute-telemetry';
import {type AllotmentEnforcerOptions, startAllotmentEnforcer} from '../../allotment-enforcer.ts';
import {startHostDispatcher} from '../../host-dispatcher.ts';
import {METHODS} from '../../messages.ts';
import * as fixture from './fixture.ts';

const PARISH = {
	name: 'parish', keys: ['k'], ratePerSecond: 10, burst: 10,
};
/**
Tokens of a full bucket: the burst and two fifths of the slack.
*/
const FULL_BUCKET_TOKENS = 18;
const REFILL_MILLISECONDS = 10_000;

async function setUp(changes: Partial<AllotmentEnforcerOptions> = {}) {
	const lines: string[] = [];
	const output = new stream.Writable({
		write(chunk, _encoding, done) {
			lines.push(String(chunk));
			done();
		},
	});
	const base = fixture.createFakeContext();
	const context = {
		...base, logs: telemetry.createLogs({
			output, level: 'info', now: base.now, fields: {},
		}),
	};
	const reports: allotments.UsageReport[] = [];
	const enforcer = startAllotmentEnforcer(context, {
		settings: fixture.ALLOTMENTS,
		requestShare: {get: () => 1, getHostShare: () => 1},
		isReceivingReports: true,
		notifyDispatchers(method, report) {
			if (method === METHODS.use) {
				reports.push(report as allotments.UsageReport);
			}
		},
		...changes,
	});
	enforcer.setOrganisations([PARISH]);
	const dispatching = startHostDispatcher(context, {
		...fixture.ONLY_DISPATCHER,
		settings: {budget: {ratio: 0.2, extra: 20, windowMilliseconds: 10_000}, floor: 0},
		allotmentEnforcer: enforcer,
		listCandidates: () => [{
			upstream: 'u', address: {ip: '10.0.0.1', port: 80}, failureDomain: 'x', slots: 100, isDraining: false, isSilent: false, warmAt: 0,
		}],
		listStandbys: () => [],
		notify: () => undefined,
		notifyControlHosts: () => undefined,
	});
	await context.pass(REFILL_MILLISECONDS);
	let count = 0;
	const requestSlot = (more: Partial<dispatch.SlotRequest> = {}) => {
		count++;
		const id = `front:${count}`;
		return {
			id, answer: dispatching.requestSlot({
				...fixture.SLOT_REQUEST_DRAFT, organisation: 'parish', id, host: 'front', failureDomain: 'x', ...more,
			}),
		};
	};

	const exhaustTokens = () => {
		for (let next = requestSlot(); next.answer.kind === 'grant'; next = requestSlot()) {
			dispatching.end({id: next.id, ending: 'success', milliseconds: 10});
		}
	};

	return {
		context, dispatching, requestSlot, exhaustTokens, reports, lines,
	};
}

test('only the requests of an organisation over its allotment are refused', async t => {
	const {requestSlot} = await setUp();
	const answers = Array.from({length: FULL_BUCKET_TOKENS + 5}, () => requestSlot().answer);
	t.is(answers.filter(({kind}) => kind === 'grant').length, FULL_BUCKET_TOKENS);
	t.like(answers.at(-1), {kind: 'refuse', reason: 'allotment'});
	t.is(requestSlot({organisation: 'other'}).answer.kind, 'grant');
	t.is(requestSlot({organisation: undefined}).answer.kind, 'grant');
});

type RefundCase = {
	readonly name: string;
	/**
	Requests a slot and releases it.
	*/
	readonly run: (setup: Awaited<ReturnType<typeof setUp>>) => void;
	readonly isRefunded: boolean;
};

const REFUND_CASES: readonly RefundCase[] = [
	{
		name: 'a request that ran', isRefunded: false, run({requestSlot, dispatching}) {
			dispatching.end({id: requestSlot().id, ending: 'success', milliseconds: 10});
		},
	},
	{
		name: 'a request whose caller left after it was sent', isRefunded: false, run({requestSlot, dispatching}) {
			dispatching.end({id: requestSlot().id, ending: 'cancelled', milliseconds: 10});
		},
	},
	{
		name: 'a slot that is granted after its host has turned elsewhere', isRefunded: true, run({requestSlot, dispatching}) {
			dispatching.end({id: requestSlot().id, ending: 'unused', milliseconds: 0});
		},
	},
	{
		name: 'a slot request that is refused for lack of an upstream', isRefunded: true, run({requestSlot}) {
			requestSlot({excluded: ['u']});
		},
	},
	{
		name: 'a resend that was not used', isRefunded: false, run({requestSlot, dispatching}) {
			requestSlot();
			dispatching.end({id: requestSlot({isResend: true}).id, ending: 'unused', milliseconds: 0});
		},
	},
];

for (const {name, run, isRefunded} of REFUND_CASES) {
	test(`${name} ${isRefunded ? 'refunds its token' : 'has used its token'}`, async t => {
		const setup = await setUp();
		run(setup);
		const granted = Array.from({length: FULL_BUCKET_TOKENS}, () => setup.requestSlot().answer).filter(({kind}) => kind === 'grant').length;
		t.is(granted, isRefunded ? FULL_BUCKET_TOKENS : FULL_BUCKET_TOKENS - 1);
	});
}

test('admitted requests are reported to the other control hosts, and empty reports follow until no slots are requested', async t => {
	const {requestSlot, reports, context} = await setUp();
	requestSlot();
	requestSlot();
	await context.pass(3000);
	t.deepEqual(reports.map(({uses}) => uses), [[['archive', 'parish', 2]], [], [], []]);
	t.deepEqual(reports.map(({services}) => services), Array.from({length: 4}, () => ['archive']));
	await context.pass(10_000);
	t.is(reports.length, 4);
});

test('requests without an allotment are not reported', async t => {
	const {requestSlot, reports, context} = await setUp();
	requestSlot({organisation: 'other'});
	requestSlot({organisation: undefined});
	await context.pass(3000);
	t.deepEqual(reports, []);
});

const LENDING_HOSTS = [
	{name: 'that say how much time they lend', lending: {lentMilliseconds: 40}},
	{name: 'of an earlier version, which do not', lending: {}},
] as const;

for (const {name, lending} of LENDING_HOSTS) {
	test(`a dispatcher that does not receive all reports admits the share of the entry hosts that request slots from it, ${name}`, async t => {
		const {requestSlot, dispatching, context} = await setUp({requestShare: {get: () => 0.2, getHostShare: () => 0.1}, isReceivingReports: false});
		let granted = 0;
		for (let turn = 0; turn < 500; turn++) {
			const {id, answer} = requestSlot({host: `front-${turn % 2}`, ...lending});
			dispatching.end({id, ending: 'success', milliseconds: 10});
			granted += answer.kind === 'grant' ? 1 : 0;
			// eslint-disable-next-line no-await-in-loop -- One after the other.
			await context.pass(20);
		}

		// A fifth of what is admitted in ten seconds at ten a second.
		t.true(granted >= 17 && granted <= 24, String(granted));
	});
}

test('many refusals are logged once a second, with their number', async t => {
	const {requestSlot, exhaustTokens, lines, context} = await setUp();
	exhaustTokens();
	Array.from({length: 200}, () => requestSlot());
	await context.pass(1100);
	exhaustTokens();
	const refusals = lines.filter(line => line.includes('Organisation exceeded its allotment.'));
	t.is(refusals.length, 2);
	t.regex(refusals[0]!, /"organisation":"parish".*"ratePerSecond":10.*"refusedBefore":0.*"used":18/v);
	t.regex(refusals[1]!, /"refusedBefore":200/v);
});
