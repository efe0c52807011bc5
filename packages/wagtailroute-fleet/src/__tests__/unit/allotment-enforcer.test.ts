/**
Tests of allotments at a host's dispatcher: what takes a token, what gives it back, what others are told and what is logged.
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
Tokens of a full account: the burst and two fifths of the slack.
*/
const FULL = 18;
const FILLED_MILLISECONDS = 10_000;

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
	const told: allotments.UsageReport[] = [];
	const allotting = startAllotmentEnforcer(context, {
		settings: fixture.ALLOTMENTS,
		requestShare: {get: () => 1, getHostShare: () => 1},
		isReceivingReports: true,
		notifyDispatchers(method, news) {
			if (method === METHODS.use) {
				told.push(news as allotments.UsageReport);
			}
		},
		...changes,
	});
	allotting.setOrganisations([PARISH]);
	const dispatching = startHostDispatcher(context, {
		...fixture.ONLY_DISPATCHER,
		settings: {budget: {ratio: 0.2, extra: 20, windowMilliseconds: 10_000}, floor: 0},
		allotting,
		listCandidates: () => [{
			upstream: 'u', address: {ip: '10.0.0.1', port: 80}, failureDomain: 'x', slots: 100, isDraining: false, isSilent: false, warmAt: 0,
		}],
		listStandbys: () => [],
		notify: () => undefined,
		notifyControlHosts: () => undefined,
	});
	await context.pass(FILLED_MILLISECONDS);
	let count = 0;
	const ask = (more: Partial<dispatch.SlotRequest> = {}) => {
		count++;
		const id = `front:${count}`;
		return {
			id, answer: dispatching.requestSlot({
				...fixture.SLOT_REQUEST_DRAFT, organisation: 'parish', id, host: 'front', failureDomain: 'x', ...more,
			}),
		};
	};

	const useUp = () => {
		for (let next = ask(); next.answer.kind === 'grant'; next = ask()) {
			dispatching.end({id: next.id, ending: 'success', milliseconds: 10});
		}
	};

	return {
		context, dispatching, ask, useUp, told, lines,
	};
}

test('who is over its allotment is refused, and nobody else', async t => {
	const {ask} = await setUp();
	const answers = Array.from({length: FULL + 5}, () => ask().answer);
	t.is(answers.filter(({kind}) => kind === 'grant').length, FULL);
	t.like(answers.at(-1), {kind: 'refuse', reason: 'allotment'});
	t.is(ask({organisation: 'other'}).answer.kind, 'grant');
	t.is(ask({organisation: undefined}).answer.kind, 'grant');
});

type GivingBack = {
	readonly name: string;
	/**
	Asks for the place and gives it up.
	*/
	readonly play: (setup: Awaited<ReturnType<typeof setUp>>) => void;
	readonly isGivenBack: boolean;
};

const GIVING_BACK: readonly GivingBack[] = [
	{
		name: 'a request that ran', isGivenBack: false, play({ask, dispatching}) {
			dispatching.end({id: ask().id, ending: 'success', milliseconds: 10});
		},
	},
	{
		name: 'a request whose caller left after it was sent', isGivenBack: false, play({ask, dispatching}) {
			dispatching.end({id: ask().id, ending: 'cancelled', milliseconds: 10});
		},
	},
	{
		name: 'a place that came when its host had turned elsewhere', isGivenBack: true, play({ask, dispatching}) {
			dispatching.end({id: ask().id, ending: 'unused', milliseconds: 0});
		},
	},
	{
		name: 'an ask that is refused for want of an upstream', isGivenBack: true, play({ask}) {
			ask({excluded: ['u']});
		},
	},
	{
		name: 'a resend that was not used', isGivenBack: false, play({ask, dispatching}) {
			ask();
			dispatching.end({id: ask({isResend: true}).id, ending: 'unused', milliseconds: 0});
		},
	},
];

for (const {name, play, isGivenBack} of GIVING_BACK) {
	test(`${name} ${isGivenBack ? 'gives its token back' : 'has used its token'}`, async t => {
		const setup = await setUp();
		play(setup);
		const granted = Array.from({length: FULL}, () => setup.ask().answer).filter(({kind}) => kind === 'grant').length;
		t.is(granted, isGivenBack ? FULL : FULL - 1);
	});
}

test('the other control hosts are told what was admitted, and that this host can be heard, until nobody asks', async t => {
	const {ask, told, context} = await setUp();
	ask();
	ask();
	await context.pass(3000);
	t.deepEqual(told.map(({uses}) => uses), [[['archive', 'parish', 2]], [], [], []]);
	t.deepEqual(told.map(({services}) => services), Array.from({length: 4}, () => ['archive']));
	await context.pass(10_000);
	t.is(told.length, 4);
});

test('nothing is told of who has no allotment', async t => {
	const {ask, told, context} = await setUp();
	ask({organisation: 'other'});
	ask({organisation: undefined});
	await context.pass(3000);
	t.deepEqual(told, []);
});

test('a dispatcher that others may be asked beside gives out the share of the entry hosts that ask it', async t => {
	const {ask, dispatching, context} = await setUp({requestShare: {get: () => 0.2, getHostShare: () => 0.1}, isReceivingReports: false});
	let granted = 0;
	for (let turn = 0; turn < 500; turn++) {
		const {id, answer} = ask({host: `front-${turn % 2}`});
		dispatching.end({id, ending: 'success', milliseconds: 10});
		granted += answer.kind === 'grant' ? 1 : 0;
		// eslint-disable-next-line no-await-in-loop -- One after the other.
		await context.pass(20);
	}

	// A fifth of what is given out in ten seconds at ten a second.
	t.true(granted >= 17 && granted <= 24, String(granted));
});

test('a flood of refusals is logged once a second, with their number', async t => {
	const {ask, useUp, lines, context} = await setUp();
	useUp();
	Array.from({length: 200}, () => ask());
	await context.pass(1100);
	useUp();
	const refusals = lines.filter(line => line.includes('Organisation over its allotment.'));
	t.is(refusals.length, 2);
	t.regex(refusals[0]!, /"organisation":"parish".*"ratePerSecond":10.*"refusedBefore":0.*"used":18/v);
	t.regex(refusals[1]!, /"refusedBefore":200/v);
});
