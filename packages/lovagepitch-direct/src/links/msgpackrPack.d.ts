/** The declaration file of this part of the library refers to the main one in a way that module resolution rejects. */
declare module "msgpackr/pack" {
    export { Packr } from "msgpackr";
}
