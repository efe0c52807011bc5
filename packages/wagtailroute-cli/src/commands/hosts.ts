/**
The commands that run hosts until a signal ends them.
*/
import * as clipanion from 'clipanion';
import * as results from 'ts-results-es';
import type * as host from 'wagtailroute-host';
import * as settings from '../settings.ts';
import * as running from '../running.ts';
import * as base from './command.ts';

type HostModule = typeof host;

/**
`run`: one host of the fleet, with its addresses and roles from the settings.
*/
export class RunCommand extends base.BaseCommand {
	static override paths = [['run']];
	static override usage = clipanion.Command.Usage({description: 'Run one host of the fleet'});

	hostId = base.createFlag('hostId');
	failureDomain = base.createFlag('failureDomain');
	region = base.createFlag('region');
	roles = base.createFlag('roles');
	trafficAddress = base.createFlag('trafficAddress');
	adminAddress = base.createFlag('adminAddress');
	peerAddress = base.createFlag('peerAddress');
	seeds = base.createFlag('seeds');
	dataFolder = base.createFlag('dataFolder');
	initialControl = base.createFlag('initialControl');
	operatorToken = base.createFlag('operatorToken');
	fleetSecret = base.createFlag('fleetSecret');
	logFormat = base.createFlag('logFormat');
	logLevel = base.createFlag('logLevel');
	statsd = base.createFlag('statsd');

	override async run(): Promise<base.CommandResult> {
		const read = this.readSettings(settings.HOST_SETTINGS);
		if (read.isErr()) {
			return read;
		}

		const module = await importHost();
		return running.runUntilStopped(this.context.stdout, 'run: ready', async () => results.Ok(await module.runHost(read.value)));
	}
}

/**
`dev`: a small fleet with stand-in backend servers in this process, on loopback addresses.
*/
export class DevCommand extends base.BaseCommand {
	static override paths = [['dev']];
	static override usage = clipanion.Command.Usage({description: 'Run a small fleet with stand-in backend servers in one process'});

	trafficPort = base.createFlag('trafficPort');
	adminPort = base.createFlag('adminPort');
	optionalOperatorToken = base.createFlag('optionalOperatorToken');
	logFormat = base.createFlag('logFormat');
	logLevel = base.createFlag('logLevel');

	override async run(): Promise<base.CommandResult> {
		const read = this.readSettings(settings.DEV_SETTINGS);
		if (read.isErr()) {
			return read;
		}

		const module = await importHost();
		const {optionalOperatorToken: operatorToken, ...others} = read.value;
		return running.runUntilStopped(this.context.stdout, 'dev: ready', async () =>
			results.Ok(await module.runDev({...others, ...operatorToken !== undefined && {operatorToken}})));
	}
}

/**
Imports the host only when a command needs it: the other commands start faster without it.
*/
async function importHost(): Promise<HostModule> {
	return import('wagtailroute-host');
}
