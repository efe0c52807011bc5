/**
The settings of each command, read from flags and environment variables. A flag takes precedence over its variable.
*/
import * as core from 'wagtailroute-core';
import * as results from 'ts-results-es';
import * as zod from 'zod';
import type * as failures from './failures.ts';
import * as flags from './flags.ts';

/**
Settings of `run`.
*/
export const HOST_SETTINGS = zod.object({
	hostId: flags.FLAGS.hostId.schema,
	failureDomain: flags.FLAGS.failureDomain.schema,
	region: flags.FLAGS.region.schema,
	roles: flags.FLAGS.roles.schema,
	trafficAddress: flags.FLAGS.trafficAddress.schema,
	adminAddress: flags.FLAGS.adminAddress.schema,
	peerAddress: flags.FLAGS.peerAddress.schema,
	seeds: flags.FLAGS.seeds.schema,
	dataFolder: flags.FLAGS.dataFolder.schema,
	initialControl: flags.FLAGS.initialControl.schema,
	operatorToken: flags.FLAGS.operatorToken.schema,
	fleetSecret: flags.FLAGS.fleetSecret.schema,
	logFormat: flags.FLAGS.logFormat.schema,
	logLevel: flags.FLAGS.logLevel.schema,
	statsd: flags.FLAGS.statsd.schema,
}).superRefine((settings, context) => {
	if (settings.roles.includes('control') && settings.dataFolder === undefined) {
		context.addIssue({code: 'custom', path: ['dataFolder'], message: 'needed by the role control'});
	}
});

/**
Settings of one host of the fleet.
*/
export type HostSettings = zod.output<typeof HOST_SETTINGS>;

/**
Settings of `platform`.
*/
export const PLATFORM_SETTINGS = zod.object({
	settingsFile: flags.FLAGS.settingsFile.schema,
	logLevel: flags.FLAGS.logLevel.schema,
	overloadControl: flags.FLAGS.overloadControl.schema,
});

/**
Settings of `dev`.
*/
export const DEV_SETTINGS = zod.object({
	trafficPort: flags.FLAGS.trafficPort.schema,
	adminPort: flags.FLAGS.adminPort.schema,
	optionalOperatorToken: flags.FLAGS.optionalOperatorToken.schema,
	logFormat: flags.FLAGS.logFormat.schema,
	logLevel: flags.FLAGS.logLevel.schema,
});

/**
Settings of every command that sends requests to an admin port.
*/
export const ADMIN_SETTINGS = zod.object({
	admin: flags.FLAGS.admin.schema,
	optionalOperatorToken: flags.FLAGS.optionalOperatorToken.schema,
	format: flags.FLAGS.format.schema,
});

/**
Settings of the commands that change the catalogue.
*/
export const CHANGE_SETTINGS = ADMIN_SETTINGS.extend({
	noWait: flags.FLAGS.noWait.schema,
	revision: flags.FLAGS.revision.schema,
});

/**
Settings of `catalogue check` and `platform check`.
*/
export const CHECK_SETTINGS = zod.object({
	against: flags.FLAGS.against.schema,
	format: flags.FLAGS.format.schema,
});

/**
Settings of reports on what is read from standard input.
*/
export const INPUT_REPORT_SETTINGS = zod.object({format: flags.FLAGS.format.schema});

/**
Settings of `report burn`.
*/
export const REPORT_SETTINGS = ADMIN_SETTINGS.omit({format: true}).extend({
	reportFormat: flags.FLAGS.reportFormat.schema,
	window: flags.FLAGS.window.schema,
});

/**
Settings of `load`.
*/
export const LOAD_SETTINGS = zod.object({
	targets: flags.FLAGS.targets.schema,
	service: flags.FLAGS.service.schema,
	requestsPerSecond: flags.FLAGS.requestsPerSecond.schema,
	seconds: flags.FLAGS.seconds.schema,
	warmupSeconds: flags.FLAGS.warmupSeconds.schema,
	concurrency: flags.FLAGS.concurrency.schema,
	mix: flags.FLAGS.mix.schema,
	seed: flags.FLAGS.seed.schema,
	standins: flags.FLAGS.standins.schema,
	format: flags.FLAGS.format.schema,
});

/**
Environment variables by name.
*/
export type Environment = Readonly<Record<string, string | undefined>>;

/**
The value of each flag on the command line, undefined for a flag that is absent.
*/
export type GivenFlags = Readonly<Partial<Record<flags.FlagKey, string | boolean | undefined>>>;

/**
Reads the settings that are keys of the schema. A failure names the first invalid setting, its value and what is accepted.
*/
export function readSettings<Schema extends zod.ZodObject>(
	schema: Schema,
	given: GivenFlags,
	environment: Environment,
): results.Result<zod.output<Schema>, failures.CommandFailure> {
	const keys = Object.keys(schema.shape) as flags.FlagKey[];
	const values = keys.map(key => [key, getText(key, given, environment)] as const).filter(([, text]) => text !== undefined);
	const parsed = schema.safeParse(Object.fromEntries(values));
	if (parsed.success) {
		return results.Ok(parsed.data);
	}

	const key = parsed.error.issues[0]!.path[0] as flags.FlagKey;
	return results.Err(core.createFailure('bad-setting', describeBadSetting(key, given, environment)));
}

/**
Fails if a variable has the prefix of this program and belongs to no flag.
*/
export function checkEnvironment(environment: Environment): results.Result<void, failures.CommandFailure> {
	const [unknown] = flags.findUnknownVariableNames(environment);
	if (unknown === undefined) {
		return results.Ok(undefined);
	}

	// The variable may be the misspelt name of a secret, whose value must not be printed.
	const shown = flags.isPossibleSecretName(unknown) ? '(hidden)' : JSON.stringify(environment[unknown]);
	const message = `${unknown}: an unknown setting, its value ${shown} is not accepted; accepted: ${flags.getVariableNames().join(', ')}`;
	return results.Err(core.createFailure('bad-setting', message));
}

function getText(key: flags.FlagKey, given: GivenFlags, environment: Environment): string | undefined {
	const flag: flags.Flag = flags.FLAGS[key];
	const value = given[key];
	return value === undefined ? environment[flags.getVariableName(flag)] : String(value);
}

function describeBadSetting(key: flags.FlagKey, given: GivenFlags, environment: Environment): string {
	const flag: flags.Flag = flags.FLAGS[key];
	const variable = flags.getVariableName(flag);
	const text = getText(key, given, environment);
	if (text === undefined) {
		return `--${flag.name} (or ${variable}) is missing, its value is empty; accepted: ${flag.accepted}`;
	}

	const name = given[key] === undefined ? variable : `--${flag.name}`;
	const shown = flag.isSecret ? '(hidden)' : JSON.stringify(text);
	return `${name}: the value ${shown} is not accepted; accepted: ${flag.accepted}`;
}

/**
Any JSON value.
*/
export const ANY_JSON = zod.json();
