/**
A whole catalogue put in force as one generation: its checks, its routes, and the replicated state that keeps it.
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
