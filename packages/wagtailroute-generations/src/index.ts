/**
Generations: a whole catalogue put in force as one. Their validation, the look-up of routes and keys, and the replicated state machine
that stores them.
*/
export {
	type CallerLimits,
	type Generation,
	type GenerationFailure,
	type GenerationOrganisation,
	type GenerationRoute,
	type GenerationService,
	parseGeneration,
	type Share,
} from './generation.ts';
export {MAX_RETIREMENTS} from './constants.ts';
export {createOrganisationFinder, type OrganisationFinder} from './organisation-finder.ts';
export {createRouteFinder, type RouteFinder} from './route-finder.ts';
export {createServiceChooser, type ServiceChooser} from './service-chooser.ts';
export {
	createReplicatedGenerations,
	type GenerationAnswer,
	type GenerationCommand,
	type GenerationSnapshot,
	type ReplicatedGenerations,
	type Retirement,
	type RetirementState,
	type StoredGeneration,
} from './replicated.ts';
