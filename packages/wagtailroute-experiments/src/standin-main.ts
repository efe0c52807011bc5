/**
Stand-in backend servers in a process of their own, so that an experiment's own work does not slow them down:
`node standin-main.ts SERVICE COUNT FIRST-PORT ENTRY-HOST...`. Each line on its input is a command and the place of a stand-in,
such as `drain 2`; the line is given back on its output when it is carried out.
*/
import process from 'node:process';
import * as readline from 'node:readline';
import * as standin from 'wagtailroute-standin';

const CONNECTIONS = 2000;

const [service = 'archive', count = '3', port = '0', ...entryHosts] = process.argv.slice(2);
const addresses = entryHosts.map(text => {
	const [ip = '', entryPort = '0'] = text.split(':', 2);
	return {ip, port: Number(entryPort)};
});
const standins = Array.from({length: Number(count)}, (_, index) => standin.createStandin({
	id: `${service}-${Number(port) + index}`,
	service,
	address: {ip: '127.0.0.1', port: Number(port) + index},
	failureDomain: ['a', 'b', 'c'][index % 3]!,
	slots: Number(process.env.STANDIN_SLOTS ?? 500),
	connections: CONNECTIONS,
	announceTo: () => addresses,
	seed: index,
	workMilliseconds: Number(process.env.STANDIN_WORK ?? 0),
}));

/**
A crash says nothing to the entry hosts; a drained server starts again as a new one of the same name.
*/
const COMMANDS: Readonly<Record<string, (started: standin.Standin) => Promise<void>>> = {
	drain: async started => started.drain(),
	async crash(started) {
		started.crash();
	},
	start: async started => started.start(),
};

async function carryOut(line: string): Promise<void> {
	const [name = '', index = ''] = line.split(' ', 2);
	const command = COMMANDS[name];
	const started = standins[Number(index)];
	if (command !== undefined && started !== undefined) {
		await command(started);
	}

	process.stdout.write(`${line}\n`);
}

readline.createInterface({input: process.stdin}).on('line', line => {
	void carryOut(line);
});
await Promise.all(standins.map(async started => started.start()));
process.stdout.write('standin: ready\n');
process.once('SIGTERM', () => {
	void Promise.all(standins.map(async started => started.stop())).then(() => {
		process.exitCode = 0;
		process.disconnect?.();
	});
});
