export type {
  Admission,
  AdmissionClass,
  AdmissionOptions,
  AdmissionRequest,
  AdmissionSlot,
  ClassStatus,
} from './admission-api.js';
export {createAdmission} from './create-admission.js';
