/**
Resident memory of a Node process that does nothing of ours: started, with an HTTP server, and after it answered requests.
What a host's process takes beyond this is the host's.
*/
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs/promises';
import * as http from 'node:http';
import process from 'node:process';
import type {Row} from './slopes.ts';

const REQUESTS = [0, 5000, 20_000, 40_000] as const;
const CONCURRENCY = 64;
const SERVER = `
	const server = require('node:http').createServer((request, response) => { response.end('x'.repeat(1000)); });
	server.listen(0, '127.0.0.1', () => { process.send(server.address().port); });
`;

/**
Measures after each number of requests, all in one process.
*/
export async function measureBareNode(): Promise<readonly Row[]> {
	const child = childProcess.spawn(process.execPath, ['-e', SERVER], {stdio: ['ignore', 'inherit', 'inherit', 'ipc']});
	try {
		const port = await new Promise<number>((resolve, reject) => {
			child.once('message', message => {
				resolve(Number(message));
			});
			child.once('error', reject);
		});
		const rows: Row[] = [];
		let sent = 0;
		for (const requests of REQUESTS) {
			// eslint-disable-next-line no-await-in-loop -- One step after the other.
			await sendRequests(port, requests - sent);
			sent = requests;
			// eslint-disable-next-line no-await-in-loop -- One step after the other.
			rows.push({requests, residentBytes: await getResidentBytes(child.pid!)});
		}

		return rows;
	} finally {
		child.kill();
	}
}

async function sendRequests(port: number, count: number): Promise<void> {
	const agent = new http.Agent({keepAlive: true, maxSockets: CONCURRENCY});
	let left = count;
	const work = async () => {
		while (left > 0) {
			left--;
			// eslint-disable-next-line no-await-in-loop -- Each of the senders sends one after the other.
			await get(agent, port);
		}
	};

	await Promise.all(Array.from({length: CONCURRENCY}, work));
	agent.destroy();
}

async function get(agent: http.Agent, port: number): Promise<void> {
	await new Promise<void>((resolve, reject) => {
		http.get({agent, port, host: '127.0.0.1'}, response => {
			response.resume();
			response.once('end', resolve);
		}).once('error', reject);
	});
}

async function getResidentBytes(pid: number): Promise<number> {
	const text = await fs.readFile(`/proc/${pid}/status`, 'utf8');
	const match = /VmRSS:\s+(?<kilobytes>\d+) kB/v.exec(text);
	return Number(match?.groups?.kilobytes ?? NaN) * 1024;
}
