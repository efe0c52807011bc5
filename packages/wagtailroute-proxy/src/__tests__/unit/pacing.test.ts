/**
Tests of the pacing of large bodies on slow links.

Guards against late requests and the loss of healthy dispatchers: without pacing an upload fills the host's link for a second, and a slot request to a dispatcher
queues behind it for longer than its timeout.
*/
import * as buffer from 'node:buffer';
import test from 'ava';
import * as bodies from '../../bodies.ts';
import * as proxy from '../../index.ts';

test('bytes pass at the configured rate', t => {
	let now = 0;
	const pacer = proxy.createPacer(100_000, () => now);
	let reservedBytes = 0;
	while (now < 10_000) {
		reservedBytes += 8192;
		const wait = pacer.reserve(8192);
		now += wait === 0 ? 1 : wait;
	}

	t.true(reservedBytes <= 1_000_000 + (2 * 8192), String(reservedBytes));
	t.true(reservedBytes >= 950_000, String(reservedBytes));
});

test('a small body is not delayed, and idle time does not accumulate credit', t => {
	let now = 0;
	const pacer = proxy.createPacer(100_000, () => now);
	t.is(pacer.reserve(4096), 0);
	now = 60_000;
	t.is(pacer.reserve(8192), 0);
	t.true(pacer.reserve(8192) > 0);
});

const LINKS = [
	{name: 'a link of 2.73 Mbit/s', bytesPerSecond: 341_250, isPaced: true},
	{name: 'a link of 1,000 Mbit/s', bytesPerSecond: 125_000_000, isPaced: false},
] as const;

for (const {name, bytesPerSecond, isPaced} of LINKS) {
	test(`${name} ${isPaced ? 'is' : 'is not'} paced`, t => {
		t.is(proxy.createPacers(bytesPerSecond, () => 0) !== undefined, isPaced);
	});
}

test('a body that is not paced is passed on in its original chunks', async t => {
	const prefix = buffer.Buffer.alloc(70_000, 'x');
	const rest = [buffer.Buffer.alloc(30_000, 'y')];
	const body = {prefix, rest: rest.values() as unknown as AsyncIterator<buffer.Buffer>, limitBytes: 200_000};
	const chunks = await Array.fromAsync(bodies.getSendableBody(body) as AsyncIterable<buffer.Buffer>);
	t.deepEqual(chunks.map(({length}) => length), [70_000, 30_000]);
});

test('a paced body is passed on whole, in chunks, with its length', async t => {
	const prefix = buffer.Buffer.alloc(50_000, 'x');
	const reserved: number[] = [];
	const pacer = {
		reserve(bytes: number) {
			reserved.push(bytes);
			return 0;
		},
	};
	const body = {prefix, limitBytes: 100_000};
	const chunks = await Array.fromAsync(bodies.getSendableBody(body, pacer) as AsyncIterable<buffer.Buffer>);
	t.true(buffer.Buffer.concat(chunks).equals(prefix));
	t.deepEqual(reserved, [8192, 8192, 8192, 8192, 8192, 8192, 848]);
	t.is(bodies.getContentLength(body, {} as never), 50_000);
	t.true(bodies.getSendableBody({prefix: prefix.subarray(0, 8192), limitBytes: 100_000}, pacer) instanceof Uint8Array);
});
