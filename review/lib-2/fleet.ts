/**
A small deployment of real processes on loopback addresses, with stand-ins for the platform and the operator.

Each process is started with the command of the deploy file and a settings file like the platform's.
*/
import * as childProcess from 'node:child_process';
import * as crypto from 'node:crypto';
import * as files from 'node:fs';
import * as http from 'node:http';
import * as os from 'node:os';
import * as path from 'node:path';
import process from 'node:process';
import * as timers from 'node:timers/promises';

const ROOT = path.resolve(import.meta.dirname, '../..');
const PROGRAM = path.join(ROOT, 'target/wagtailroute');

export const PORTS = {
	control: 8146, directory: 8143, front: 8144, ready: 8140,
};

/**
Bounds of the sheet of the first site.
*/
const BOUNDS: Readonly<Record<string, number>> = {
	seedLagS: 3,
	reuseAfterS: 2,
	stabilityWindowMs: 3000,
	ackMs: 4000,
	catchUpS: 4,
	drainMs: 2000,
	graceS: 6,
	lossSlackMs: 200,
	configApplyMs: 2000,
	rollbackSlackMs: 250,
	maxStretchMs: 5000,
	retryBudgetRatio: 0.2,
	budgetWindowS: 10,
	budgetExtra: 62,
	recoveryS: 15,
	// eslint-disable-next-line @typescript-eslint/naming-convention -- The platform's own name.
	ttl_max_s: 5,
	probesPerS: 3,
	floorShare: 0.7,
};

/**
A process of the fleet.
*/
export type FleetProcess = {
	readonly name: string;
	readonly ip: string;
	readonly role: 'front' | 'core';
	readonly pid: number;
	readonly output: () => string;
	readonly signal: (signal: NodeJS.Signals) => void;
	readonly ended: Promise<number | NodeJS.Signals>;
};

/**
A running deployment.
*/
export type Deployment = {
	readonly createIp: (number: number) => string;
	readonly controls: readonly FleetProcess[];
	readonly entries: readonly FleetProcess[];
	/**
	Appends a line to the record, with the seconds since the start.
	*/
	readonly record: (text: string) => void;
	readonly onEnd: (run: () => void) => void;
	/**
	Starts a process, or starts it again with the disk that it had.
	*/
	readonly launch: (role: FleetProcess['role'], index: number, isBootstrap: boolean) => FleetProcess;
};

/**
Size of a deployment, and the folder of its case.
*/
export type DeploymentOptions = {
	readonly folder: string;
	readonly controls: number;
	readonly entries: number;
	readonly bounds?: Readonly<Record<string, number>>;
	/**
	The case starts the processes itself.
	*/
	readonly isStartedByCase?: boolean;
};

/**
Runs a case in a deployment. The case returns whether the rule held; the process ends with 0 if so, 1 if not and 2 if the case could not run.
*/
export async function runCase(options: DeploymentOptions, run: (deployment: Deployment) => Promise<boolean>): Promise<void> {
	const startedAt = performance.now();
	const lines: string[] = [];
	const teardowns: Array<() => void> = [];
	const recordPath = path.join(options.folder, 'record.txt');
	const record = (text: string) => {
		lines.push(`${((performance.now() - startedAt) / 1000).toFixed(3)} ${text}`);
	};

	const limit = setTimeout(() => {
		record('The case did not end within its time.');
		finish(2);
	}, 115_000);
	const finish = (code: number) => {
		clearTimeout(limit);
		for (let teardown = teardowns.pop(); teardown !== undefined; teardown = teardowns.pop()) {
			teardown();
		}

		files.writeFileSync(recordPath, `${lines.join('\n')}\n`);
		process.exit(code); // eslint-disable-line unicorn/no-process-exit -- The exit code is the result.
	};

	try {
		const deployment = await startDeployment(options, record, teardowns);
		const isKept = await run(deployment);
		record(isKept ? 'The rule held.' : 'The rule was broken.');
		finish(isKept ? 0 : 1);
	} catch (error) {
		record(`The case could not run: ${(error as Error).stack}`);
		finish(2);
	}
}

async function startDeployment({controls, entries, bounds, isStartedByCase = false}: DeploymentOptions, record: Deployment['record'], teardowns: Array<() => void>): Promise<Deployment> {
	const [first = 1, second = 1] = crypto.randomBytes(2);
	const prefix = `127.${1 + (first % 250)}.${1 + (second % 250)}`;
	const createIp = (number: number) => `${prefix}.${number}`;
	const folder = files.mkdtempSync(path.join(os.tmpdir(), 'review-'));
	teardowns.push(() => {
		files.rmSync(folder, {recursive: true, force: true});
	});
	const controlIps = Array.from({length: controls}, (_, index) => createIp(1 + index));
	const seeds = controlIps.slice(0, 3).map(ip => `${ip}:${PORTS.control}`);
	const launch: Deployment['launch'] = (role, index, isBootstrap) => startProcess({
		name: `${role}-${index + 1}`,
		ip: createIp((role === 'core' ? 1 : 20) + index),
		role,
		folder,
		seeds,
		bounds: {...BOUNDS, ...bounds},
		isBootstrap,
		teardowns,
	});
	const onEnd = (run: () => void) => {
		teardowns.push(run);
	};

	if (isStartedByCase) {
		return {
			createIp, controls: [], entries: [], record, onEnd, launch,
		};
	}

	const controlProcesses = controlIps.map((_, index) => launch('core', index, true));
	const entryProcesses = Array.from({length: entries}, (_, index) => launch('front', index, true));
	for (const started of [...controlProcesses, ...entryProcesses]) {
		// eslint-disable-next-line no-await-in-loop -- All of them start at the same time.
		await waitFor(() => started.output().includes('run: ready'), 15_000, `${started.name} is ready`);
	}

	record(`The deployment runs: ${controls} control hosts, ${entries} entry hosts.`);
	return {
		createIp, controls: controlProcesses, entries: entryProcesses, record, onEnd, launch,
	};
}

function startProcess({
	name, ip, role, folder, seeds, bounds, isBootstrap, teardowns,
}: {
	readonly name: string;
	readonly ip: string;
	readonly role: FleetProcess['role'];
	readonly folder: string;
	readonly seeds: readonly string[];
	readonly bounds: Readonly<Record<string, number>>;
	readonly isBootstrap: boolean;
	readonly teardowns: Array<() => void>;
}): FleetProcess {
	const home = path.join(folder, name);
	const dataDir = path.join(home, 'data');
	files.mkdirSync(dataDir, {recursive: true});
	const settingsPath = path.join(home, 'boot.toml');
	files.writeFileSync(settingsPath, createSettings({
		name, ip, role, seeds, bounds, dataDir, isBootstrap,
	}));
	const child = childProcess.spawn(PROGRAM, ['platform'], {
		cwd: ROOT,
		// eslint-disable-next-line @typescript-eslint/naming-convention -- Environment variables.
		env: {PATH: process.env.PATH, HOME: home, WAGTAILROUTE_CONFIG: settingsPath},
		stdio: ['ignore', 'pipe', 'pipe'],
	});
	const chunks: string[] = [];
	for (const stream of [child.stdout, child.stderr]) {
		stream.on('data', (chunk: Uint8Array) => {
			chunks.push(String(chunk));
		});
	}

	const ended = new Promise<number | NodeJS.Signals>(resolve => {
		child.once('exit', (code, signal) => {
			resolve(code ?? signal!);
		});
	});
	teardowns.push(() => {
		child.kill('SIGKILL');
		if (process.env.LOGS !== undefined) {
			files.writeFileSync(path.join(process.env.LOGS, `${name}.log`), chunks.join(''));
		}
	});
	return {
		name,
		ip,
		role,
		pid: child.pid!,
		output: () => chunks.join(''),
		signal(signal) {
			child.kill(signal);
		},
		ended,
	};
}

function createSettings({
	name, ip, role, seeds, bounds, dataDir, isBootstrap,
}: {
	readonly name: string;
	readonly ip: string;
	readonly role: FleetProcess['role'];
	readonly seeds: readonly string[];
	readonly bounds: Readonly<Record<string, number>>;
	readonly dataDir: string;
	readonly isBootstrap: boolean;
}): string {
	const isFront = role === 'front';
	const names = isFront ? ['front', 'directory', 'ready'] as const : ['control', 'directory'] as const;
	return `
[self]
node = "${name}"
role = "${isFront ? 'entry' : 'control'}"
machineClass = "${role}"
serves = ${isFront ? '["front","directory"]' : '["control","directory"]'}
ip = "${ip}"
zone = "aarhus-a"
region = "dk-vest"
countsInTolerance = ${!isFront}
bootstrap = ${isBootstrap}
${isFront ? '' : `dataDir = "${dataDir}"`}
[self.limits]
cpuShare = 0.54
cores = 1
memoryMb = 350
maxFds = 4100
linkMbps = 1000.0
diskMb = ${isFront ? 0 : 256}
[network]
internalPorts = [7660,7675]
seeds = ${JSON.stringify(seeds)}
[network.listen]
${names.map(listened => `${listened} = "${ip}:${PORTS[listened]}"`).join('\n')}
[network.zones]
aarhus-a = "dk-vest"
[platform]
discovery = "registration"
entry = "directory"
heartbeatMs = 1500
configMode = "highest"
[terms]
contracts = ["base","drain","config","cost","retry","recover","health"]
[terms.faultTolerance]
machines = 1
zones = 0
regions = 0
[terms.bounds]
${Object.entries(bounds).map(([bound, value]) => `${bound} = ${value}`).join('\n')}
`;
}

/**
Polls until the check holds; throws after the time given.
*/
export async function waitFor(check: () => boolean | Promise<boolean>, milliseconds: number, what: string): Promise<void> {
	const end = performance.now() + milliseconds;
	while (performance.now() < end) {
		// eslint-disable-next-line no-await-in-loop -- One check after the other.
		if (await check()) {
			return;
		}

		// eslint-disable-next-line no-await-in-loop -- See above.
		await timers.setTimeout(20);
	}

	throw new Error(`Not within ${milliseconds} ms: ${what}`);
}

/**
An answer of an interface of the system.
*/
export type Answer = {
	readonly status: number;
	readonly headers: http.IncomingHttpHeaders;
	readonly text: string;
};

/**
Sends one request on a connection of its own. Status 0: no answer.
*/
export async function send(ip: string, port: number, {method = 'GET', path: target, headers = {}, body, timeout = 3000}: {
	readonly method?: string;
	readonly path: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: string;
	readonly timeout?: number;
}): Promise<Answer> {
	return new Promise(resolve => {
		const fail = (text: string) => {
			resolve({status: 0, headers: {}, text});
		};

		const request = http.request({
			host: ip, port, method, path: target, headers, agent: false, timeout,
		}, response => {
			const chunks: string[] = [];
			response.on('data', (chunk: Uint8Array) => {
				chunks.push(String(chunk));
			});
			response.once('error', error => {
				fail(error.message);
			});
			response.once('end', () => {
				resolve({status: response.statusCode!, headers: response.headers, text: chunks.join('')});
			});
			response.once('close', () => {
				fail('cut');
			});
		});
		request.once('timeout', () => {
			request.destroy(new Error('timeout'));
		});
		request.once('error', error => {
			fail(error.message);
		});
		request.end(body);
	});
}

/**
Sends a call of an operator or a backend server to a control host.
*/
export async function call(ip: string, query: string, body: unknown, timeout = 1000): Promise<Answer> {
	return send(ip, PORTS.control, {
		method: 'POST',
		path: `/v1/rpc?${query}`,
		headers: {'content-type': 'application/json'},
		body: typeof body === 'string' ? body : JSON.stringify(body),
		timeout,
	});
}

/**
A route of a catalogue document.
*/
export type Route = {
	readonly name: string;
	readonly type: 'safe' | 'unsafe' | 'upload' | 'download';
	readonly service: string;
	readonly timeoutMs?: number;
	readonly attempts?: number;
};

export const HOST = 'review.example';

/**
Creates a catalogue document. The path of a route is its name between slashes.
*/
export function createDocument(version: number, routes: readonly Route[], services: Readonly<Record<string, number>>): unknown {
	return {
		version,
		resources: [
			...routes.map(({name, type, service, timeoutMs = 2500, attempts = 2}) => ({
				entryType: 'routes',
				metadata: {name: `r-${name}`},
				spec: {
					host: HOST, pathPrefix: `/${name}/`, type, timeoutMs, targetLatencyMs: 1000, priority: 1, service, attempts,
				},
			})),
			...Object.entries(services).map(([name, maxConns]) => ({
				entryType: 'services', metadata: {name}, spec: {
					healthPath: '/health', maxConns, protocol: 'h1', tls: false,
				},
			})),
			{
				entryType: 'limits', metadata: {}, spec: {
					maxHeaderBytes: 16_384, maxBodyBytes: 67_108_864, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
				},
			},
		],
	};
}

/**
Sends a document to the control hosts in turn until one acknowledges it.
*/
export async function putDocument({controls, record}: Deployment, document: unknown): Promise<void> {
	let turn = 0;
	await waitFor(async () => {
		const answer = await call(controls[turn++ % controls.length]!.ip, 'call=config.put', document);
		return answer.status === 200;
	}, 20_000, 'the document is acknowledged');
	record('The catalogue document was acknowledged.');
}

/**
Waits until an entry host is ready.
*/
export async function waitUntilReady(entry: FleetProcess): Promise<void> {
	await waitFor(async () => {
		const answer = await send(entry.ip, PORTS.ready, {path: '/v1/readiness'});
		return answer.status === 200;
	}, 20_000, `${entry.name} answers that it is ready`);
}
