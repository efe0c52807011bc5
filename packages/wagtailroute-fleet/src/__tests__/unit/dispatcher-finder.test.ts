/**
Tests of which dispatcher is found for a service.
*/
import test from 'ava';
import type {LinkedHost} from '../../control-links.ts';
import {createDispatcherFinder, type DispatcherFinderOptions} from '../../dispatcher-finder.ts';
import * as fixture from './fixture.ts';

function createControls(count: number): readonly LinkedHost[] {
	return Array.from({length: count}, (_, index) => ({
		host: {id: `c${index}`, address: {ip: '10.0.0.2', port: 1}}, link: fixture.createFakeLink(() => undefined),
	}));
}

const createOptions = (controls: readonly LinkedHost[], changes: Partial<DispatcherFinderOptions> = {}): DispatcherFinderOptions => ({
	hostId: 'front', failureDomain: 'x', getControlHosts: () => controls, getStandbys: () => [], isOwnHostStandby: () => false, ...changes,
});

test('all hosts find the same dispatcher, and services are spread over dispatchers', t => {
	const context = fixture.createFakeContext();
	const controls = createControls(5);
	const services = Array.from({length: 50}, (_, index) => `service-${index}`);
	const find = (order: readonly LinkedHost[]) => services.map(service => createDispatcherFinder(context, createOptions(order)).find({service})?.host.id);
	t.deepEqual(find(controls), find(controls.toReversed()));
	t.is(new Set(find(controls)).size, 5);
});

type Case = {
	readonly name: string;
	/**
	Number of dispatchers, from the first in the service's order, that did not answer in time.
	*/
	readonly unresponsive: number;
	readonly waitMilliseconds: number;
	/**
	Index in the service's order of the one that is found.
	*/
	readonly asked: number | undefined;
};

const CASES: readonly Case[] = [
	{
		name: 'the first one', unresponsive: 0, waitMilliseconds: 0, asked: 0,
	},
	{
		name: 'the next one after the first did not answer', unresponsive: 1, waitMilliseconds: 0, asked: 1,
	},
	{
		// Guards against requests that wait a quarter of a second or more for seconds after all control hosts lost power: their links stay open
		// and silent, and each slot request times out at one after the other.
		name: 'none when most did not answer', unresponsive: 3, waitMilliseconds: 0, asked: undefined,
	},
	{
		name: 'the first one again after a while', unresponsive: 3, waitMilliseconds: 1000, asked: 0,
	},
];

for (const {name, unresponsive, waitMilliseconds, asked} of CASES) {
	test(`finds ${name}`, async t => {
		const context = fixture.createFakeContext();
		const controls = createControls(5);
		const finder = createDispatcherFinder(context, createOptions(controls));
		const order: Array<string | undefined> = [];
		const left = [...controls];
		while (left.length > 0) {
			const first = createDispatcherFinder(context, createOptions(left)).find({service: 'archive'})!;
			order.push(first.host.id);
			left.splice(left.indexOf(first), 1);
		}

		for (const id of order.slice(0, unresponsive)) {
			finder.markUnresponsive(controls.find(control => control.host.id === id)!);
		}

		await context.pass(waitMilliseconds);
		t.is(finder.find({service: 'archive'})?.host.id, asked === undefined ? undefined : order[asked]);
	});
}

test('a dispatcher that did not answer is skipped until a message from it arrives', async t => {
	// Guards against requests that lose a quarter of a second, again every second, while a control host is frozen: its process is stopped, and its links
	// stay open and silent.
	const context = fixture.createFakeContext();
	const link = fixture.createFakeLink(() => undefined);
	const other = fixture.createFakeLink(() => undefined);
	const controls = [link, other].map((of, index): LinkedHost => ({host: {id: `c${index}`, address: {ip: '10.0.0.2', port: 1}}, link: of}));
	const finder = createDispatcherFinder(context, createOptions(controls));
	const first = finder.find({service: 'archive'})!;
	finder.markUnresponsive(first);
	const silent = first.link as fixture.FakeLink;
	silent.silence = 3200;
	await context.pass(3000);
	t.not(finder.find({service: 'archive'})?.host.id, first.host.id);
	silent.silence = 100;
	t.is(finder.find({service: 'archive'})?.host.id, first.host.id);
});

test('while most control hosts do not answer, all hosts find the same standby', t => {
	const context = fixture.createFakeContext();
	const controls = createControls(3);
	const standbys = ['s0', 's1', 's2'].map((id): LinkedHost => ({
		host: {id, address: {ip: '10.0.0.4', port: 1}}, link: fixture.createFakeLink(() => undefined),
	}));
	const services = Array.from({length: 20}, (_, index) => `service-${index}`);
	const find = (changes: Partial<DispatcherFinderOptions>) => {
		const finder = createDispatcherFinder(context, createOptions(controls, changes));
		for (const control of controls.slice(1)) {
			finder.markUnresponsive(control);
		}

		return services.map(service => finder.find({service})?.host.id ?? changes.hostId);
	};

	const found = find({getStandbys: () => standbys});
	t.is(new Set(found).size, 3);
	// A standby has no link to itself, and finds the same ones.
	t.deepEqual(find({hostId: 's1', isOwnHostStandby: () => true, getStandbys: () => standbys.filter(({host}) => host.id !== 's1')}), found);
});
