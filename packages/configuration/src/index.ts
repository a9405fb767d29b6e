export { Configuration } from './runtime/Configuration.js'
export type { ApplyError, ConfigurationOptions, RulesListener, RulesSource, RulesVersion } from './runtime/Configuration.js'
export { EVENTS as CONFIGURATION_EVENTS } from './types/events.js'
