export { AdmissionService } from './runtime/AdmissionService.js'
export type { AdmissionServiceOptions, HoldRequest } from './runtime/AdmissionService.js'
export { EVENTS as ADMISSION_EVENTS } from './types/events.js'
