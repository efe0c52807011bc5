/**
The commands that run hosts until a signal ends them.
*/
import * as clipanion from 'clipanion';
import type * as host from 'wagtailroute-host';
import * as settings from '../settings.ts';
import * as running from '../running.ts';
import * as shared from './command.ts';

type HostModule = typeof host;

/**
`run`: a host with its own addresses, told by settings.
*/
export class RunCommand extends shared.SharedCommand {
	static override paths = [['run']];
	static override usage = clipanion.Command.Usage({description: 'Run one host of the fleet'});

	hostId = shared.createFlag('hostId');
	failureDomain = shared.createFlag('failureDomain');
	region = shared.createFlag('region');
	roles = shared.createFlag('roles');
	trafficAddress = shared.createFlag('trafficAddress');
	adminAddress = shared.createFlag('adminAddress');
	peerAddress = shared.createFlag('peerAddress');
	seeds = shared.createFlag('seeds');
	dataFolder = shared.createFlag('dataFolder');
	initialControl = shared.createFlag('initialControl');
	operatorToken = shared.createFlag('operatorToken');
	fleetSecret = shared.createFlag('fleetSecret');
	logFormat = shared.createFlag('logFormat');
	logLevel = shared.createFlag('logLevel');
	statsd = shared.createFlag('statsd');

	override async carryOut(): Promise<shared.CommandResult> {
		const read = this.readSettings(settings.HOST_SETTINGS);
		if (read.isErr()) {
			return read;
		}

		const module = await importHost();
		return running.runUntilStopped(this.context.stdout, 'run: ready', async () => module.runHost(read.value));
	}
}

/**
`dev`: everything in this process, on loopback.
*/
export class DevCommand extends shared.SharedCommand {
	static override paths = [['dev']];
	static override usage = clipanion.Command.Usage({description: 'Run a small fleet with stand-in backend servers in one process'});

	trafficPort = shared.createFlag('trafficPort');
	adminPort = shared.createFlag('adminPort');
	optionalOperatorToken = shared.createFlag('optionalOperatorToken');
	logFormat = shared.createFlag('logFormat');
	logLevel = shared.createFlag('logLevel');

	override async carryOut(): Promise<shared.CommandResult> {
		const read = this.readSettings(settings.DEV_SETTINGS);
		if (read.isErr()) {
			return read;
		}

		const module = await importHost();
		const {optionalOperatorToken: operatorToken, ...others} = read.value;
		return running.runUntilStopped(this.context.stdout, 'dev: ready', async () => module.runDev({...others, ...operatorToken !== undefined && {operatorToken}}));
	}
}

/**
Loads the host only where it is needed: a query starts faster without it.
*/
async function importHost(): Promise<HostModule> {
	return import('wagtailroute-host');
}
