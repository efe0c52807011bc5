/* eslint-disable @typescript-eslint/no-unsafe-call, unicorn/no-await-expression-member, unicorn/no-process-exit, unicorn/no-unsafe-string-replacement -- Type checking doesn't look into this folder; scripts. */
/**
Parts shared by the scripts of the review: a small installation of the deploy file's programs on loopback, an upstream stand-in, and the record of a run.
*/
import * as files from 'node:fs';
import * as http from 'node:http';
import * as os from 'node:os';
import * as path from 'node:path';
import process from 'node:process';
import * as timers from 'node:timers/promises';
import * as fixture from '../../platform/src/__tests__/unit/fixture.ts';

export const STABILITY_MILLISECONDS = 3000;
export const GRACE_SECONDS = 6;
const HEARTBEAT_MILLISECONDS = 1500;

/**
Whether the run has its disruption.
*/
export const hasTrouble = process.env.TROUBLE !== '0';

/**
Runs a case: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
*/
export async function runCase(folder: string, run: (tools: Tools) => Promise<boolean>): Promise<void> {
	const startedAt = performance.now();
	const lines: string[] = [];
	const teardowns: Array<() => void | Promise<void>> = [];
	const tools: Tools = {
		teardown(teardown) {
			teardowns.push(teardown);
		},
		record(text) {
			lines.push(`${((performance.now() - startedAt) / 1000).toFixed(3)} ${text}`);
		},
	};
	let code = 2;
	try {
		tools.record(`trouble ${hasTrouble ? 'on' : 'off'}`);
		const isBroken = await run(tools);
		tools.record(isBroken ? 'rule broken' : 'rule held');
		code = isBroken ? 1 : 0;
	} catch (error) {
		tools.record(`the case could not run: ${(error as Error).stack}`);
	}

	for (const teardown of teardowns.toReversed()) {
		// eslint-disable-next-line no-await-in-loop -- In order.
		await teardown();
	}

	files.writeFileSync(path.join(folder, 'record.txt'), `${lines.join('\n')}\n`);
	console.log(lines.at(-1));
	process.exit(code);
}

export type Tools = fixture.Scope & {
	readonly record: (text: string) => void;
};

export type Installation = {
	readonly controls: readonly fixture.FleetProcess[];
	readonly fronts: readonly fixture.FleetProcess[];
	/**
	Starts a core process again with its settings file and its disk.
	*/
	readonly restartControl: (index: number) => Promise<fixture.FleetProcess>;
};

/**
Starts three core machines and some front machines, and puts the first configuration in force.
*/
export async function startInstallation(tools: Tools, document: unknown, frontCount = 1): Promise<Installation> {
	const start = (number: number, role: 'front' | 'core') => {
		const folder = files.mkdtempSync(path.join(os.tmpdir(), 'review-'));
		tools.teardown(() => {
			files.rmSync(folder, {recursive: true, force: true});
		});
		const dataDir = path.join(folder, 'data');
		files.mkdirSync(dataDir);
		const ip = fixture.createIp(number);
		const text = fixture.createSettings(ip, role, {dataDir}).replace(/graceS = \d+/v, `graceS = ${GRACE_SECONDS}`);
		return fixture.spawnProgram(tools, ip, {folder, text, isKept: true});
	};

	const controls = [1, 2, 3].map(number => start(number, 'core'));
	const fronts = Array.from({length: frontCount}, (_, index) => start(10 + index, 'front'));
	for (const started of [...controls, ...fronts]) {
		// eslint-disable-next-line no-await-in-loop -- All were started.
		await within(30_000, async () => started.output().includes('run: ready'), 'start');
	}

	await within(20_000, async () => (await fixture.callControl(controls[0]!, 'call=config.put', document)).status === 200, 'first configuration');
	for (const front of fronts) {
		// eslint-disable-next-line no-await-in-loop -- One after the other.
		await within(20_000, async () => fixture.isReady(front), 'readiness');
	}

	return {
		controls,
		fronts,
		async restartControl(index) {
			const {ip, settingsPath} = controls[index]!;
			files.writeFileSync(settingsPath, files.readFileSync(settingsPath, 'utf8').replace('bootstrap = true', 'bootstrap = false'));
			const started = fixture.spawnWithSettingsFile(tools, ip, settingsPath);
			await within(30_000, async () => started.output().includes('run: ready'), 'restart');
			return started;
		},
	};
}

/**
Waits for a condition of the set-up; without it the case can't run.
*/
export async function within(milliseconds: number, check: () => boolean | Promise<boolean>, what: string): Promise<void> {
	const quiet = async () => {
		try {
			return await check();
		} catch {
			return false;
		}
	};

	if (!await fixture.waitWithin(quiet, milliseconds)) {
		throw new Error(`not within ${milliseconds} ms: ${what}`);
	}
}

/**
Registers an upstream and sends its heartbeats until it is told to stop.
*/
export function sendHeartbeats(tools: Tools, {controls}: Pick<Installation, 'controls'>, {id, address, service = 'shop', slots = 4}: {
	readonly id: string; readonly address: string; readonly service?: string; readonly slots?: number;
}): {readonly stop: () => void} {
	let sequence = 0;
	const send = async () => {
		sequence++;
		const body = {
			service, address, zone: 'a', version: 'v1', slots, state: 'ready', warmupLeftMs: 0, seq: sequence,
		};
		for (const control of controls) {
			try {
				// eslint-disable-next-line no-await-in-loop -- The next node only after a failure.
				const answer = await fixture.callControl(control, `call=instances.heartbeat&of=${id}`, body, AbortSignal.timeout(1000));
				if (answer.status === 200) {
					return;
				}
			} catch {}
		}
	};

	void send();
	const timer = setInterval(() => {
		void send();
	}, HEARTBEAT_MILLISECONDS);
	const stop = () => {
		clearInterval(timer);
	};

	tools.teardown(stop);
	return {stop};
}

export async function startHttpUpstream(tools: Tools, id: string, serve: http.RequestListener): Promise<string> {
	const server = http.createServer((message, response) => {
		if (message.url === fixture.HEALTH_PATH) {
			response.writeHead(200, {'instance-id': id}).end();
			return;
		}

		serve(message, response);
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	tools.teardown(() => {
		server.closeAllConnections();
		server.close();
	});
	return `127.0.0.1:${(server.address() as {port: number}).port}`;
}

export const sleep = async (milliseconds: number) => timers.setTimeout(milliseconds);
export * as fixture from '../../platform/src/__tests__/unit/fixture.ts';
